package org.boragebarrow.node.metrics;

import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.boragebarrow.decision.assign.Outcome;
import org.boragebarrow.decision.assign.RefusalReason;
import org.boragebarrow.model.ErrorKind;
import org.boragebarrow.model.LengthClass;
import org.boragebarrow.model.OrganisationId;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The meters of one host. Thread-safe.
 *
 * <p>The number of series is bounded: organisations beyond the limit share the label value {@code other}.
 */
public final class HostMetrics {
    private static final String OTHER = "other";

    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Set<OrganisationId> organisationsWithSeries = ConcurrentHashMap.newKeySet();
    private final Map<SeriesKey, Timer> timers = new ConcurrentHashMap<>();
    private final int maxOrganisations;
    private final Counter targetCrashes = registry.counter("boragebarrow.targets.crashed");
    private final Counter targetsLeaving = registry.counter("boragebarrow.targets.leaving");
    private final Counter targetsQuiet = registry.counter("boragebarrow.targets.quiet");
    private final Counter unexpectedBytes = registry.counter("boragebarrow.targets.unexpected.bytes");
    private final Counter retries = registry.counter("boragebarrow.retries");
    private final Counter resumes = registry.counter("boragebarrow.resumes");
    private final Counter strayMessages = registry.counter("boragebarrow.stray.messages");
    private final Counter callerDisconnects = registry.counter("boragebarrow.callers.gone");
    private final Counter peersRejected = registry.counter("boragebarrow.peers.rejected");
    private final Counter localChoices = registry.counter("boragebarrow.local.choices");

    private record SeriesKey(String name, String organisation, LengthClass lengthClass) {}

    /** Creates the meters, with separate series for at most the given number of organisations. */
    public HostMetrics(int maxOrganisations) {
        checkArgument(maxOrganisations > 0, "maxOrganisations must be positive: %s", maxOrganisations);
        this.maxOrganisations = maxOrganisations;
    }

    /** Records the time from arrival to the grant, in nanoseconds. */
    public void queued(OrganisationId organisation, LengthClass lengthClass, long nanos) {
        timer("boragebarrow.queued", organisation, lengthClass).record(nanos, TimeUnit.NANOSECONDS);
    }

    /** Records the time from arrival to the first token, in nanoseconds. */
    public void firstToken(OrganisationId organisation, LengthClass lengthClass, long nanos) {
        timer("boragebarrow.first.token", organisation, lengthClass).record(nanos, TimeUnit.NANOSECONDS);
    }

    /** Records the time between two tokens, in nanoseconds. */
    public void betweenTokens(OrganisationId organisation, LengthClass lengthClass, long nanos) {
        timer("boragebarrow.between.tokens", organisation, lengthClass).record(nanos, TimeUnit.NANOSECONDS);
    }

    /** Records the time from arrival to the end of a complete response, in nanoseconds. */
    public void completed(OrganisationId organisation, LengthClass lengthClass, long nanos) {
        timer("boragebarrow.completed", organisation, lengthClass).record(nanos, TimeUnit.NANOSECONDS);
    }

    /** Counts a request that was refused or failed. */
    public void failed(ErrorKind kind) {
        registry.counter("boragebarrow.failed", "kind", kind.name()).increment();
    }

    /** Counts a request that the assigner refused, by the reason. */
    public void unassigned(RefusalReason reason) {
        registry.counter("boragebarrow.unassigned", "reason", reason.name().toLowerCase(Locale.ROOT))
                .increment();
    }

    /** Counts an attempt at a target that failed, by its outcome. */
    public void attemptFailed(Outcome outcome) {
        registry.counter(
                        "boragebarrow.attempts.failed",
                        "outcome",
                        outcome.name().toLowerCase(Locale.ROOT))
                .increment();
    }

    /** Counts a step of a second copy of a slow request: asked, sent, won or withdrawn. */
    public void copy(String state) {
        registry.counter("boragebarrow.copies", "state", state).increment();
    }

    /** Counts a second copy that the assigner refused. */
    public void copyRefused(RefusalReason reason) {
        registry.counter("boragebarrow.copies.refused", "reason", reason.name().toLowerCase(Locale.ROOT))
                .increment();
    }

    /** Counts a target that crashed, on the host that assigns targets. */
    public void targetCrashed() {
        targetCrashes.increment();
    }

    /** Counts a target that announced that it is leaving. */
    public void targetLeaving() {
        targetsLeaving.increment();
    }

    /** Counts a target that asked for quiet, or for more of it. */
    public void targetQuiet() {
        targetsQuiet.increment();
    }

    /** Counts one time at which a target sent bytes that belong to no request. */
    public void unexpectedBytes() {
        unexpectedBytes.increment();
    }

    /** Counts a retry of an attempt. */
    public void retried() {
        retries.increment();
    }

    /** Counts an interrupted stream that was resumed at its engine. */
    public void resumed() {
        resumes.increment();
    }

    /** Counts a message that was late or for another attempt. */
    public void strayMessage() {
        strayMessages.increment();
    }

    /** Counts a caller that disconnected before the end of the response. */
    public void callerDisconnected() {
        callerDisconnects.increment();
    }

    /** Counts a peer connection that was closed because of a protocol violation. */
    public void peerRejected() {
        peersRejected.increment();
    }

    /** Counts a target that this host chose without the dispatcher. */
    public void choseTargetLocally() {
        localChoices.increment();
    }

    /** Registers a gauge whose value is read at each scrape. */
    public void gauge(String name, Supplier<Number> value) {
        Gauge.builder(checkNotNull(name), checkNotNull(value)).register(registry);
    }

    /** Returns all meters in the Prometheus text format. */
    public String scrape() {
        return registry.scrape();
    }

    private Timer timer(String name, OrganisationId organisation, LengthClass lengthClass) {
        SeriesKey key = new SeriesKey(name, organisationLabel(organisation), lengthClass);
        return timers.computeIfAbsent(key, this::register);
    }

    private Timer register(SeriesKey key) {
        return Timer.builder(key.name())
                .tag("organisation", key.organisation())
                .tag("length", key.lengthClass().name().toLowerCase(Locale.ROOT))
                .publishPercentileHistogram()
                .minimumExpectedValue(Duration.ofMillis(1))
                .maximumExpectedValue(Duration.ofMinutes(10))
                .register(registry);
    }

    private String organisationLabel(OrganisationId organisation) {
        if (organisationsWithSeries.contains(organisation)) {
            return organisation.value();
        }
        return tryAddSeries(organisation) ? organisation.value() : OTHER;
    }

    private synchronized boolean tryAddSeries(OrganisationId organisation) {
        if (organisationsWithSeries.size() >= maxOrganisations && !organisationsWithSeries.contains(organisation)) {
            return false;
        }
        organisationsWithSeries.add(organisation);
        return true;
    }
}
