package org.boragebarrow.decision.dispatch;

import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Optional;

import com.google.common.collect.ImmutableSet;
import org.boragebarrow.model.LengthClass;
import org.boragebarrow.model.ModelId;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.port.EngineControl;

/**
 * The dispatcher's view of an engine: its last load report, adjusted for the grants made since.
 *
 * <p>Each of this dispatcher's grants is counted with the maximum memory that it can use. Usage in a report beyond
 * these grants is attributed to external work and added; it may be underestimated by the answer tokens that this
 * dispatcher's grants have not produced yet.
 */
final class EngineView extends TargetView {
    // A grant reaches its engine, and a release appears in its load reports, only after a delay.
    private static final long REPORT_LAG_NANOS = 200_000_000L;

    private final DispatchSettings settings;
    private final LinkedHashSet<Grant> grants = new LinkedHashSet<>();
    private final ArrayDeque<Release> releases = new ArrayDeque<>();
    private final PrefillBacklog backlog = new PrefillBacklog();
    private Optional<EngineReservation> reservation = Optional.empty();

    private boolean reported;
    private boolean accepting = true;
    private ImmutableSet<ModelId> models = ImmutableSet.of();
    private long capacity;
    private int slots;
    private double prefillRate;
    private double decodeRate;

    private long externalTokens;
    private int externalSequences;
    private long grantedTokens;
    private long grantedShortTokens;
    private int grantedShortCount;

    EngineView(TargetId id, DispatchSettings settings) {
        super(id);
        this.settings = settings;
        DispatchSettings.EngineDefaults defaults = settings.engineDefaults();
        capacity = defaults.capacityTokens();
        slots = defaults.batchSlots();
        prefillRate = defaults.prefillTokensPerSecond();
        decodeRate = defaults.decodeTokensPerSecond();
    }

    /** Applies a load report; returns whether the set of served models changed. */
    boolean report(EngineControl.LoadReport report, long nowNanos) {
        DispatchSettings.EngineDefaults defaults = settings.engineDefaults();
        backlog.advance(prefillRate, nowNanos);
        boolean changed = !reported || !models.equals(report.models());
        reported = true;
        accepting = report.accepting();
        models = report.models();
        capacity = Math.max(0, report.capacityTokens());
        slots = Math.max(1, report.batchSlots());
        prefillRate = positiveOrElse(report.prefillTokensPerSecond(), defaults.prefillTokensPerSecond());
        decodeRate = positiveOrElse(report.decodeTokensPerSecond(), defaults.decodeTokensPerSecond());
        updateExternalLoad(report, nowNanos);
        if (grants.isEmpty() && report.running() + report.queued() == 0) {
            backlog.clear();
        }
        return changed;
    }

    private void updateExternalLoad(EngineControl.LoadReport report, long nowNanos) {
        long createdAtNanos = nowNanos - Math.max(0, report.age().toNanos());
        long tokens = report.usedTokens();
        int sequences = report.running() + report.queued();
        for (Grant g : grants) {
            if (g.grantedAtNanos - createdAtNanos <= 0) {
                tokens -= g.tokensPerEngine;
                sequences--;
            }
        }
        while (!releases.isEmpty() && releases.getFirst().atNanos + REPORT_LAG_NANOS - createdAtNanos < 0) {
            releases.removeFirst();
        }
        for (Release r : releases) {
            tokens -= r.tokens;
            sequences--;
        }
        externalTokens = Math.max(0, tokens);
        externalSequences = Math.max(0, sequences);
    }

    private static double positiveOrElse(double value, double fallback) {
        return value > 0 && Double.isFinite(value) ? value : fallback;
    }

    @Override
    boolean isAvailable(long nowNanos) {
        return accepting && super.isAvailable(nowNanos);
    }

    @Override
    void add(Grant grant, long nowNanos) {
        backlog.advance(prefillRate, nowNanos);
        grants.add(grant);
        grantedTokens += grant.tokensPerEngine;
        if (grant.isShort()) {
            grantedShortCount++;
            grantedShortTokens += grant.tokensPerEngine;
        }
        backlog.add(grant.lengthClass, grant.prefillTokensPerEngine);
    }

    @Override
    void remove(Grant grant, long nowNanos) {
        if (!grants.remove(grant)) {
            return;
        }
        backlog.advance(prefillRate, nowNanos);
        grantedTokens -= grant.tokensPerEngine;
        if (grant.isShort()) {
            grantedShortCount--;
            grantedShortTokens -= grant.tokensPerEngine;
        }
        releases.add(new Release(nowNanos, grant.tokensPerEngine));
        if (grants.isEmpty()) {
            backlog.clear();
            return;
        }
        double processed = (nowNanos - grant.grantedAtNanos) / 1e9 * prefillRate;
        backlog.remove(grant.lengthClass, Math.max(0, grant.prefillTokensPerEngine - processed));
    }

    /** Returns whether the engine is available and has a free batch slot. */
    boolean isOpen(long nowNanos) {
        return sequences() < slots && isAvailable(nowNanos);
    }

    boolean isReported() {
        return reported;
    }

    ImmutableSet<ModelId> models() {
        return models;
    }

    long capacity() {
        return capacity;
    }

    int slots() {
        return slots;
    }

    double prefillRate() {
        return prefillRate;
    }

    double decodeRate() {
        return decodeRate;
    }

    Optional<EngineReservation> reservation() {
        return reservation;
    }

    void setReservation(Optional<EngineReservation> reservation) {
        this.reservation = reservation;
    }

    Iterable<Grant> grants() {
        return grants;
    }

    /** Returns the estimated number of requests on the engine. */
    int sequences() {
        return grants.size() + externalSequences;
    }

    long freeTokens() {
        return Math.max(0, capacity - grantedTokens - externalTokens);
    }

    /** Returns the maximum KV memory that one request of the class may use, in tokens. */
    long maxRequestTokens(LengthClass lengthClass) {
        return lengthClass == LengthClass.SHORT || !settings.policy().isClassAware()
                ? capacity
                : capacity - (long) (capacity * settings.order().shortMemoryFraction());
    }

    boolean hasSlot(LengthClass lengthClass) {
        if (sequences() >= slots) {
            return false;
        }
        if (lengthClass == LengthClass.SHORT || !settings.policy().isClassAware()) {
            return true;
        }
        return sequences() - grantedShortCount < maxLongerSequences();
    }

    boolean hasMemory(LengthClass lengthClass, long tokens) {
        long used = grantedTokens + externalTokens;
        if (used + tokens > capacity) {
            return false;
        }
        return used - grantedShortTokens + tokens <= maxRequestTokens(lengthClass) || lengthClass == LengthClass.SHORT;
    }

    /** Returns whether the request with the reservation, which is not short, would still fit beside the given one. */
    boolean fitsAlongside(EngineReservation reserved, LengthClass lengthClass, long tokens) {
        long used = grantedTokens + externalTokens;
        long both = tokens + reserved.tokensPerEngine();
        if (sequences() + 2 > slots || used + both > capacity) {
            return false;
        }
        if (lengthClass == LengthClass.SHORT) {
            return true;
        }
        return sequences() - grantedShortCount + 2 <= maxLongerSequences()
                && used - grantedShortTokens + both <= maxRequestTokens(lengthClass);
    }

    /** Returns the predicted wait before the prefill of new work of the class starts, in seconds. */
    double waitSeconds(LengthClass lengthClass, long nowNanos) {
        backlog.advance(prefillRate, nowNanos);
        return backlog.tokensAhead(lengthClass) / prefillRate;
    }

    /** Returns the number of longer length classes with unfinished prefill on the engine. */
    int longerClassCount(LengthClass lengthClass, long nowNanos) {
        backlog.advance(prefillRate, nowNanos);
        return backlog.longerClassCount(lengthClass);
    }

    private int maxLongerSequences() {
        return slots == 1
                ? 1
                : slots - Math.max(1, (int) (slots * settings.order().shortSlotFraction()));
    }

    private record Release(long atNanos, long tokens) {}
}
