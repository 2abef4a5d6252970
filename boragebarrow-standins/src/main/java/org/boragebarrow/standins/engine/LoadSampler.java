package org.boragebarrow.standins.engine;

import java.time.Duration;
import java.util.function.Supplier;

import org.boragebarrow.port.EngineControl.LoadReport;

/** Samples the load at a fixed interval and reports each sample one interval later. */
final class LoadSampler {
    private final long intervalNanos;
    private final Supplier<LoadReport> source;
    private LoadReport shown;
    private long shownNanos;
    private LoadReport latest;
    private long latestNanos;

    LoadSampler(Duration interval, Supplier<LoadReport> source, long nowNanos) {
        this.intervalNanos = interval.toNanos();
        this.source = source;
        this.shown = source.get();
        this.latest = shown;
        this.shownNanos = nowNanos;
        this.latestNanos = nowNanos;
    }

    long nextNanos() {
        return latestNanos + intervalNanos;
    }

    void sample(long nowNanos) {
        if (nowNanos < nextNanos()) {
            return;
        }
        shown = latest;
        shownNanos = latestNanos;
        latest = source.get();
        latestNanos = nowNanos;
    }

    LoadReport report(long nowNanos) {
        return new LoadReport(
                Duration.ofNanos(nowNanos - shownNanos),
                shown.capacityTokens(),
                shown.usedTokens(),
                shown.batchSlots(),
                shown.running(),
                shown.queued(),
                shown.prefillTokensPerSecond(),
                shown.decodeTokensPerSecond(),
                shown.models(),
                shown.role(),
                shown.accepting());
    }
}
