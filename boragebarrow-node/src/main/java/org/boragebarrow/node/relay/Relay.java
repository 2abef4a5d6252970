package org.boragebarrow.node.relay;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import org.boragebarrow.decision.fleet.TargetIncarnation;
import org.boragebarrow.decision.quarantine.QuarantineEntry;
import org.boragebarrow.decision.routing.Route;
import org.boragebarrow.decision.routing.RoutingTable;
import org.boragebarrow.decision.shutdown.ShutdownDeadline;
import org.boragebarrow.http.server.ServerResponse;
import org.boragebarrow.model.ErrorKind;
import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.model.RequestException;
import org.boragebarrow.model.ServiceName;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.nio.charset.StandardCharsets.UTF_8;

/**
 * Accepts callers' requests, finds their route and organisation, and tracks them until they end.
 *
 * <p>Confined to the event loop of its context.
 */
public final class Relay {
    /** Least retry delay of a host that has read no configuration yet: one read of the store takes less. */
    private static final Duration NOT_READY_RETRY_DELAY = Duration.ofMillis(500);

    /** The time over which the retries of such a host's callers are spread, as all hosts may have started at once. */
    private static final Duration NOT_READY_RETRY_SPREAD = Duration.ofMillis(500);

    /** Retry delay of a host that is stopping: another host can handle the request at once. */
    static final Duration STOPPING_RETRY_DELAY = Duration.ofMillis(50);

    private final RelayContext context;
    private final CrashChecks crashChecks;
    private final Set<RelayExchange> open = new HashSet<>();
    private Optional<ShutdownDeadline> shutdown = Optional.empty();
    private boolean refusingNew;
    private long lastAttemptNumber;

    /** Creates a relay without requests in progress. */
    public Relay(RelayContext context) {
        this.context = checkNotNull(context);
        this.crashChecks = new CrashChecks(context);
    }

    /** Handles a complete request that arrives now. */
    public void accept(RelayRequest request, ServerResponse response) {
        accept(request, response, context.ticker().read());
    }

    /**
     * Handles a complete request.
     *
     * @param arrival when the request arrived, in monotonic nanoseconds
     */
    public void accept(RelayRequest request, ServerResponse response, long arrival) {
        try {
            RelayExchange exchange = open(request, response, arrival);
            open.add(exchange);
            exchange.start();
        } catch (RequestException e) {
            refuse(request, response, e);
        }
    }

    private RelayExchange open(RelayRequest request, ServerResponse response, long arrival) {
        if (refusingNew) {
            throw RequestException.of(ErrorKind.SHUTTING_DOWN, "the host is stopping", STOPPING_RETRY_DELAY);
        }
        RoutingTable table =
                context.routing().current().orElseThrow(() -> notReady("the host has read no configuration yet"));
        Route route = table.match(request.host(), request.path())
                .orElseThrow(() -> RequestException.of(
                        ErrorKind.NOT_FOUND, "no route for host \"" + request.host() + "\" and this path"));
        Optional<OrganisationId> organisation = organisation(table, route, request);
        ServiceName service = route.service(hashToUnitInterval(request.id()));
        checkPromptParts(service, request);
        return new RelayExchange(
                context, this, request, response, Destination.of(table, route, service, organisation), arrival);
    }

    private RequestException notReady(String reason) {
        Duration delay = NOT_READY_RETRY_DELAY.plusNanos(context.random().nextLong(NOT_READY_RETRY_SPREAD.toNanos()));
        return RequestException.of(ErrorKind.NOT_READY, reason, delay);
    }

    private void checkPromptParts(ServiceName service, RelayRequest request) {
        if (!context.quarantine().isLoaded() && !request.promptParts().shared().isEmpty()) {
            throw notReady("the host has not read the quarantine yet");
        }
        Optional<QuarantineEntry> entry = context.quarantine().find(service, request.promptParts());
        if (entry.isPresent()) {
            throw RequestException.of(ErrorKind.PROMPT_QUARANTINED, quarantineMessage(entry.get()));
        }
    }

    static String quarantineMessage(QuarantineEntry entry) {
        return "part " + entry.key().part() + " of the prompt is quarantined: " + entry.reason();
    }

    private static Optional<OrganisationId> organisation(RoutingTable table, Route route, RelayRequest request) {
        if (route.allowsAnonymous() || !table.requiresKeys()) {
            return Optional.empty();
        }
        Optional<OrganisationId> organisation = request.key().flatMap(table::organisation);
        if (organisation.isEmpty()) {
            throw RequestException.of(ErrorKind.UNAUTHENTICATED, "the key is missing or unknown");
        }
        return organisation;
    }

    /** Hashes the id to a number between 0, inclusive, and 1, exclusive. */
    private static double hashToUnitInterval(String id) {
        return (Hashing.murmur3_32_fixed().hashString(id, UTF_8).asInt() & 0x7fffffffL) / (double) (1L << 31);
    }

    private void refuse(RelayRequest request, ServerResponse response, RequestException failure) {
        context.log()
                .write(
                        RelayEvent.REFUSED,
                        "id",
                        request.id(),
                        "kind",
                        failure.kind(),
                        "ran",
                        failure.executionStatus(),
                        "version",
                        context.routing().current().map(RoutingTable::version).orElse(0L),
                        "reason",
                        failure.getMessage());
        context.metrics().failed(failure.kind());
        ErrorResponses.send(response, failure);
    }

    /**
     * Refuses requests without a target as soon as they cannot end before the deadline. Other requests continue, and
     * new ones are accepted.
     */
    public void beginShutdown(ShutdownDeadline deadline) {
        shutdown = Optional.of(deadline);
        ImmutableList.copyOf(open).forEach(RelayExchange::limitWait);
    }

    /** Returns when the host has to have answered all requests, if it is stopping. */
    Optional<ShutdownDeadline> shutdown() {
        return shutdown;
    }

    /** Ends all requests in progress with an error response, or aborts the responses that have started. */
    public void endAll() {
        ImmutableList.copyOf(open).forEach(RelayExchange::endForShutdown);
    }

    /** Refuses new requests from now on; requests in progress continue. */
    public void refuseNew() {
        refusingNew = true;
    }

    /** Places requests elsewhere that wait for a target, as no byte of them has been sent there. */
    public void takeBack(TargetIncarnation target) {
        ImmutableList.copyOf(open).forEach(exchange -> exchange.takeBackFrom(target));
    }

    /** Places requests elsewhere that wait for a target which accepts no new work any more. */
    void takeBackFromUnusable() {
        ImmutableList.copyOf(open).forEach(RelayExchange::takeBackIfUnusable);
    }

    /** Applies the homes of a new configuration to the requests in progress. */
    void onNewRouting(RoutingTable table) {
        ImmutableList.copyOf(open).forEach(exchange -> exchange.onNewRouting(table));
    }

    /** Renews the memory that requests in progress have reserved on a target that is quiet from now on, while it may be asked. */
    void extendReservations(TargetIncarnation target) {
        if (context.quiet().isQuiet(target, context.ticker().read())) {
            ImmutableList.copyOf(open).forEach(exchange -> exchange.extendReservations(target));
        }
    }

    /** Fails the requests in progress whose prompts are quarantined now, unless their answers have begun. */
    public void failQuarantined() {
        ImmutableList.copyOf(open).forEach(RelayExchange::failIfQuarantined);
    }

    /** Returns the number of requests in progress. */
    public int inProgress() {
        return open.size();
    }

    CrashChecks crashChecks() {
        return crashChecks;
    }

    long nextAttemptNumber() {
        return ++lastAttemptNumber;
    }

    void onExchangeClosed(RelayExchange exchange) {
        open.remove(exchange);
    }
}
