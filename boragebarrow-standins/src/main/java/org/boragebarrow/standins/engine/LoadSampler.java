package org.boragebarrow.standins.engine;

import java.time.Duration;
import java.util.function.Supplier;

import org.boragebarrow.port.EngineControl.LoadReport;

/** Samples the load at a fixed interval and reports each sample one interval later. */
final class LoadSampler {
    private final long intervalNanos;
    private final Supplier<LoadReport> source;
    private LoadReport reported;
    private long reportedNanos;
    private LoadReport latest;
    private long latestNanos;

    LoadSampler(Duration interval, Supplier<LoadReport> source, long nowNanos) {
        this.intervalNanos = interval.toNanos();
        this.source = source;
        this.reported = source.get();
        this.latest = reported;
        this.reportedNanos = nowNanos;
        this.latestNanos = nowNanos;
    }

    long nextNanos() {
        return latestNanos + intervalNanos;
    }

    void sample(long nowNanos) {
        if (nowNanos < nextNanos()) {
            return;
        }
        reported = latest;
        reportedNanos = latestNanos;
        latest = source.get();
        latestNanos = nowNanos;
    }

    LoadReport report(long nowNanos) {
        return new LoadReport(
                Duration.ofNanos(nowNanos - reportedNanos),
                reported.capacityTokens(),
                reported.usedTokens(),
                reported.batchSlots(),
                reported.running(),
                reported.queued(),
                reported.prefillTokensPerSecond(),
                reported.decodeTokensPerSecond(),
                reported.models(),
                reported.role(),
                reported.accepting());
    }
}
