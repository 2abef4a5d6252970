package org.boragebarrow.ctl.admin;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.util.concurrent.Uninterruptibles;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.boragebarrow.ctl.CommandException;
import org.boragebarrow.ctl.ExitCode;
import org.boragebarrow.http.client.HttpAnswer;
import org.boragebarrow.http.client.HttpCall;
import org.boragebarrow.http.client.HttpCallException;
import org.boragebarrow.http.client.HttpClient;
import org.boragebarrow.model.Endpoint;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A blocking client of the admin API that calls the first host that responds.
 *
 * <p>A call whose response is lost, or to which a host responds with status 503, is retried, also at another host, so
 * each call must be idempotent.
 */
public final class AdminClient implements AutoCloseable {
    private static final int MAX_ATTEMPTS_PER_HOST = 3;
    private static final Duration RETRY_DELAY = Duration.ofMillis(200);
    private static final int SERVICE_UNAVAILABLE = 503;

    private final ImmutableList<Endpoint> hosts;
    private final String token;
    private final Duration timeout;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpClient client = new HttpClient(group);

    /** Creates a client of the given hosts; the timeout applies to each attempt of a call. */
    public AdminClient(ImmutableList<Endpoint> hosts, String token, Duration timeout) {
        checkArgument(!hosts.isEmpty(), "no hosts given");
        this.hosts = hosts;
        this.token = checkNotNull(token);
        this.timeout = checkNotNull(timeout);
    }

    /** Gets the resource at the path; throws {@link CommandException} unless a host responds with success. */
    public HttpAnswer get(String path) {
        return AdminErrors.requireSuccess(
                callWithRetries(HttpCall.of("GET", path).withHeaders(headers(ImmutableListMultimap.of()))));
    }

    /** Sends an edit; throws {@link CommandException} unless a host accepts it. */
    public HttpAnswer edit(String method, String path, ImmutableListMultimap<String, String> headers, String body) {
        ByteBuffer bytes = ByteBuffer.wrap(body.getBytes(StandardCharsets.UTF_8));
        HttpCall call = HttpCall.of(method, path).withHeaders(headers(headers));
        return AdminErrors.requireSuccess(callWithRetries(body.isEmpty() ? call : call.withBody(bytes)));
    }

    private ImmutableListMultimap<String, String> headers(ImmutableListMultimap<String, String> additional) {
        return ImmutableListMultimap.<String, String>builder()
                .put("authorization", "Bearer " + token)
                .put("content-type", "application/json")
                .putAll(additional)
                .build();
    }

    private HttpAnswer callWithRetries(HttpCall call) {
        Optional<HttpAnswer> unavailable = Optional.empty();
        String failure = "";
        int attempts = MAX_ATTEMPTS_PER_HOST * hosts.size();
        for (int i = 0; i < attempts; i++) {
            if (i >= hosts.size()) {
                Uninterruptibles.sleepUninterruptibly(RETRY_DELAY.toMillis(), TimeUnit.MILLISECONDS);
            }
            try {
                HttpAnswer answer = client.exchange(hosts.get(i % hosts.size()), call, timeout)
                        .join();
                if (answer.status() != SERVICE_UNAVAILABLE) {
                    return answer;
                }
                unavailable = Optional.of(answer);
            } catch (CompletionException e) {
                failure = failureMessage(e);
            }
        }
        if (unavailable.isPresent()) {
            return unavailable.get();
        }
        throw new CommandException(ExitCode.UNREACHABLE, "no host responded: " + failure);
    }

    private static String failureMessage(CompletionException failure) {
        if (failure.getCause() instanceof HttpCallException callFailure) {
            return callFailure.getMessage();
        }
        throw failure;
    }

    @Override
    public void close() {
        client.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
