package org.boragebarrow.node.front;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import com.google.common.base.Ticker;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.boragebarrow.http.server.ServerHandler;
import org.boragebarrow.http.server.ServerRequest;
import org.boragebarrow.http.server.ServerResponse;
import org.boragebarrow.model.Allowance;
import org.boragebarrow.model.Configuration;
import org.boragebarrow.model.ErrorKind;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.model.Ids;
import org.boragebarrow.model.LengthClass;
import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.model.RequestException;
import org.boragebarrow.model.RequestId;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.node.log.EventLog;
import org.boragebarrow.node.metrics.HostMetrics;
import org.boragebarrow.node.settings.ServiceSettings;
import org.boragebarrow.port.EngineClient;
import org.boragebarrow.port.ObjectStore;
import org.boragebarrow.port.ServiceClient;

import static com.google.common.base.Preconditions.checkNotNull;

/** The front end of a host: serves the HTTP requests of callers. Thread-safe. */
public final class Front implements ServerHandler {
    private static final String SERVICE_PATH_PREFIX = "/services/";
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);
    private static final ImmutableSet<String> HOP_BY_HOP = ImmutableSet.of(
            "connection", "keep-alive", "transfer-encoding", "content-length", "te", "trailer", "upgrade");

    private final FrontContext context;
    private final ImmutableMap<ServiceName, ServiceSettings> services;
    private final int maxRequests;
    private final TokenEstimator estimator = new TokenEstimator();
    private final AtomicInteger inProgress = new AtomicInteger();

    private volatile Configuration configuration = Configuration.empty();
    private volatile Authenticator authenticator = Authenticator.of(Configuration.empty());
    private volatile boolean ready;
    private volatile boolean refusingNew;

    /** The collaborators of a front end. */
    public record Collaborators(
            Supplier<HostIncarnation> incarnation,
            Grants grants,
            Claims claims,
            ObjectStore objects,
            EngineClient engines,
            ServiceClient services,
            EngineReleases releases,
            GangReservations gangs,
            HostMetrics metrics,
            Ticker ticker,
            RandomGenerator random) {}

    /** Creates a front end without a configuration: it refuses every request until {@link #configure} is called. */
    public Front(Collaborators collaborators, ImmutableMap<ServiceName, ServiceSettings> services, int maxRequests) {
        this.context = new FrontContext(
                collaborators.grants(),
                collaborators.claims(),
                collaborators.objects(),
                collaborators.engines(),
                collaborators.services(),
                collaborators.releases(),
                collaborators.gangs(),
                new FrontContext.AttemptCounter(collaborators.incarnation()),
                new SharedRetryPolicy(collaborators.random()),
                collaborators.metrics(),
                collaborators.ticker(),
                EventLog.of(Front.class));
        this.services = checkNotNull(services);
        this.maxRequests = maxRequests;
    }

    /** Applies a configuration to all requests that arrive from now on. */
    public void configure(Configuration newConfiguration) {
        authenticator = Authenticator.of(newConfiguration);
        configuration = newConfiguration;
    }

    /** Returns the configuration in effect. */
    public Configuration configuration() {
        return configuration;
    }

    /** Sets the readiness that {@code /readyz} reports to the load balancer. */
    public void setReady(boolean value) {
        ready = value;
    }

    /** Returns whether the host is ready. */
    public boolean isReady() {
        return ready;
    }

    /** Refuses every new request from now on. */
    public void refuseNew() {
        refusingNew = true;
    }

    /** Returns the number of requests in progress. */
    public int inProgress() {
        return inProgress.get();
    }

    @Override
    public void onRequest(ServerRequest request, ServerResponse response) {
        switch (request.path()) {
            case "/livez" -> sendText(response, 200, "live\n");
            case "/readyz" -> sendText(response, ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
            default -> serveOrRefuse(request, response);
        }
    }

    @Override
    public void onRefused(RequestException refusal, ServerResponse response) {
        context.metrics().failed(refusal.kind());
        ErrorBodies.send(response, refusal, Optional.empty());
    }

    private static void sendText(ServerResponse response, int status, String text) {
        ImmutableListMultimap<String, String> headers = ImmutableListMultimap.of("content-type", "text/plain");
        response.send(status, headers, ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
    }

    private void serveOrRefuse(ServerRequest request, ServerResponse response) {
        try {
            serve(request, response);
        } catch (RequestException refusal) {
            context.metrics().failed(refusal.kind());
            Optional<RequestId> id = request.header(RequestHeaders.REQUEST_ID)
                    .filter(Ids::isValid)
                    .map(RequestId::of);
            boolean keyed = request.path().startsWith(SERVICE_PATH_PREFIX)
                    && request.headers().containsKey(RequestHeaders.IDEMPOTENCY_KEY);
            if (keyed) {
                ErrorBodies.sendKeyedRefusal(response, refusal, id);
                return;
            }
            ErrorBodies.send(response, refusal, id);
        }
    }

    private void serve(ServerRequest request, ServerResponse response) {
        if (refusingNew) {
            throw RequestException.of(ErrorKind.SHUTTING_DOWN, "the host is shutting down", RETRY_DELAY);
        }
        RequestHeaders.checkSingle(request);
        OrganisationId organisation = authenticator
                .authenticate(request.header(RequestHeaders.AUTHORIZATION))
                .orElseThrow(() -> RequestException.of(ErrorKind.UNAUTHENTICATED, "the request has no valid key"));
        Allowance allowance = configuration
                .allowanceOf(organisation)
                .orElseThrow(() -> RequestException.of(ErrorKind.NOT_ALLOWED, "the organisation has no allowance"));
        AdmittedRequest admitted = admit(request, organisation, allowance);
        switch (request.path()) {
            case "/v1/completions" -> servePrompt(request, response, admitted, allowance, false);
            case "/v1/chat/completions" -> servePrompt(request, response, admitted, allowance, true);
            default -> serveCall(request, response, admitted, allowance);
        }
    }

    private AdmittedRequest admit(ServerRequest request, OrganisationId organisation, Allowance allowance) {
        RequestId id = RequestHeaders.requestId(request)
                .orElseGet(() -> RequestId.of(context.nextAttempt().toString()));
        Duration timeout = RequestHeaders.timeout(request, allowance);
        long now = context.ticker().read();
        return new AdmittedRequest(id, organisation, now, now + timeout.toNanos());
    }

    private void servePrompt(
            ServerRequest request,
            ServerResponse response,
            AdmittedRequest admitted,
            Allowance allowance,
            boolean chat) {
        if (!request.method().equals("POST")) {
            throw RequestException.of(ErrorKind.BAD_REQUEST, request.method() + " is not supported for this path");
        }
        ParsedPrompt prompt = PromptParser.parse(request.body(), chat);
        if (!allowance.allows(prompt.model())) {
            throw RequestException.of(ErrorKind.NOT_ALLOWED, "the plan does not allow model " + prompt.model());
        }
        Optional<Integer> declared = RequestHeaders.promptTokens(request);
        int tokens = declared.orElseGet(
                () -> estimator.estimate(admitted.organisation(), prompt.model(), prompt.textBytes()));
        if (tokens > Math.min(allowance.maxPromptTokens(), LengthClass.HUGE.maxTokens())) {
            throw RequestException.of(
                    ErrorKind.PROMPT_TOO_LONG, "the prompt has about " + tokens + " tokens, more than the limit");
        }
        acquireRequestSlot();
        PromptRequest promptRequest = new PromptRequest(prompt, tokens, request.body());
        new PromptExchange(context, admitted, promptRequest, response, new PromptExchange.Listener() {
                    @Override
                    public void onPromptCounted(int promptTokens) {
                        if (declared.isEmpty()) {
                            estimator.update(admitted.organisation(), prompt.model(), prompt.textBytes(), promptTokens);
                        }
                    }

                    @Override
                    public void onDone() {
                        inProgress.decrementAndGet();
                    }
                })
                .start();
    }

    private void acquireRequestSlot() {
        if (inProgress.incrementAndGet() > maxRequests) {
            inProgress.decrementAndGet();
            throw RequestException.of(ErrorKind.OVERLOADED, "the host has too many requests in progress", RETRY_DELAY);
        }
    }

    private void serveCall(
            ServerRequest request, ServerResponse response, AdmittedRequest admitted, Allowance allowance) {
        ServiceExchange.Request call = serviceRequest(request, allowance);
        Optional<String> key = RequestHeaders.idempotencyKey(request);
        acquireRequestSlot();
        if (key.isPresent()) {
            serveKeyedCall(response, admitted, call, key.get());
            return;
        }
        ServiceExchange exchange =
                new ServiceExchange(context, admitted, call, response.eventLoop(), new ServiceExchange.Listener() {
                    @Override
                    public void onAnswer(ServiceAnswer answer) {
                        inProgress.decrementAndGet();
                        sendAnswer(response, answer, admitted.request());
                    }

                    @Override
                    public void onFailure(RequestException failure, boolean sent) {
                        inProgress.decrementAndGet();
                        ErrorBodies.send(response, failure, Optional.of(admitted.request()));
                    }
                });
        response.onClose(exchange::onCallerDisconnected);
        exchange.start();
    }

    private void serveKeyedCall(
            ServerResponse response, AdmittedRequest admitted, ServiceExchange.Request call, String key) {
        KeyedExchange exchange = new KeyedExchange(
                context, admitted, call.withoutRetries(), response.eventLoop(), new KeyedExchange.Listener() {
                    @Override
                    public void onAnswer(ServiceAnswer answer) {
                        inProgress.decrementAndGet();
                        sendAnswer(response, answer, admitted.request());
                    }

                    @Override
                    public void onFailure(RequestException failure, boolean claimed) {
                        inProgress.decrementAndGet();
                        ErrorBodies.sendKeyed(response, failure, admitted.request(), claimed);
                    }
                });
        response.onClose(exchange::onCallerDisconnected);
        exchange.start(key);
    }

    private ServiceExchange.Request serviceRequest(ServerRequest request, Allowance allowance) {
        String target = request.requestTarget();
        if (!target.startsWith(SERVICE_PATH_PREFIX)) {
            throw RequestException.of(ErrorKind.NOT_FOUND, "no resource at " + request.path());
        }
        String remainder = target.substring(SERVICE_PATH_PREFIX.length());
        int slash = remainder.indexOf('/');
        String name = slash < 0 ? remainder : remainder.substring(0, slash);
        String path = slash < 0 ? "/" : remainder.substring(slash);
        ServiceName service;
        try {
            service = ServiceName.of(name);
        } catch (IllegalArgumentException e) {
            throw RequestException.of(ErrorKind.UNKNOWN_SERVICE, e.getMessage());
        }
        if (!allowance.allows(service)) {
            throw RequestException.of(ErrorKind.NOT_ALLOWED, "the plan does not allow service " + service);
        }
        ServiceSettings settings = services.get(service);
        boolean repeatable = settings != null && settings.isRepeatable(request.method(), path);
        return new ServiceExchange.Request(service, path, request, repeatable);
    }

    private static void sendAnswer(ServerResponse response, ServiceAnswer answer, RequestId request) {
        ImmutableListMultimap.Builder<String, String> headers = ImmutableListMultimap.builder();
        for (Map.Entry<String, String> header : answer.headers().entries()) {
            if (!HOP_BY_HOP.contains(header.getKey()) && !header.getKey().equals(RequestHeaders.REQUEST_ID)) {
                headers.put(header);
            }
        }
        headers.put(RequestHeaders.REQUEST_ID, request.value());
        response.send(answer.status(), headers.build(), ByteBuffer.wrap(answer.body()));
    }
}
