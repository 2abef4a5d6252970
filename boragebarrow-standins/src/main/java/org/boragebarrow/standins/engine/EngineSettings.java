package org.boragebarrow.standins.engine;

import java.time.Duration;

import com.google.common.collect.ImmutableSet;
import org.boragebarrow.model.ModelId;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The size and speed of an emulated engine.
 *
 * @param stepBase the fixed part of the duration of a step
 * @param stepPerSequence the duration that each decoding sequence adds to a step
 * @param chunkTokens the maximum number of prompt tokens that one step processes
 * @param batchSlots the maximum number of sequences in a batch
 * @param maxWaiting the maximum number of sequences that wait for a place in the batch
 * @param capacityTokens KV memory, in tokens
 * @param cacheEventLag the typical delay until cache events become visible
 * @param cacheEventLoss the probability that a cache event is lost
 * @param loadReportInterval the interval at which the load is sampled; a report is up to two intervals old
 * @param loadTime the time from an order to load a model until the model is ready
 * @param checksFencing whether orders with an old fencing number are refused
 */
public record EngineSettings(
        double prefillTokensPerSecond,
        Duration stepBase,
        Duration stepPerSequence,
        int chunkTokens,
        int batchSlots,
        int maxWaiting,
        long capacityTokens,
        Duration cacheEventLag,
        double cacheEventLoss,
        Duration loadReportInterval,
        Duration loadTime,
        boolean checksFencing,
        ImmutableSet<ModelId> models,
        String role) {
    public EngineSettings {
        checkArgument(prefillTokensPerSecond > 0, "prefill speed must be positive: %s", prefillTokensPerSecond);
        checkNotNull(stepBase);
        checkNotNull(stepPerSequence);
        checkArgument(chunkTokens > 0, "chunk tokens must be positive: %s", chunkTokens);
        checkArgument(batchSlots > 0, "batch slots must be positive: %s", batchSlots);
        checkArgument(maxWaiting >= 0, "maximum of waiting sequences must not be negative: %s", maxWaiting);
        checkArgument(capacityTokens > 0, "capacity must be positive: %s", capacityTokens);
        checkNotNull(cacheEventLag);
        checkArgument(
                cacheEventLoss >= 0 && cacheEventLoss <= 1, "cache event loss is not in [0, 1]: %s", cacheEventLoss);
        checkNotNull(loadReportInterval);
        checkNotNull(loadTime);
        checkNotNull(models);
        checkNotNull(role);
    }

    /** Returns the settings of an engine that holds 400,000 tokens and serves the model {@code model}. */
    public static EngineSettings defaults() {
        return builder().build();
    }

    /** Returns a builder that starts from the defaults. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the token rate of a single sequence. */
    public double decodeTokensPerSecond() {
        double step = stepBase.plus(stepPerSequence).toNanos();
        return Duration.ofSeconds(1).toNanos() / Math.max(1, step);
    }

    /** A builder of {@link EngineSettings}. */
    public static final class Builder {
        private double prefillTokensPerSecond = 20_000;
        private Duration stepBase = Duration.ofMillis(8);
        private Duration stepPerSequence = Duration.ofNanos(250_000);
        private int chunkTokens = 2_048;
        private int batchSlots = 48;
        private int maxWaiting = 512;
        private long capacityTokens = 400_000;
        private Duration cacheEventLag = Duration.ofMillis(500);
        private double cacheEventLoss = 0.01;
        private Duration loadReportInterval = Duration.ofMillis(250);
        private Duration loadTime = Duration.ofSeconds(5);
        private boolean checksFencing = true;
        private ImmutableSet<ModelId> models = ImmutableSet.of(ModelId.of("model"));
        private String role = "both";

        private Builder() {}

        /** Sets the number of prompt tokens that the engine processes per second. */
        public Builder prefillTokensPerSecond(double value) {
            prefillTokensPerSecond = value;
            return this;
        }

        /** Sets the fixed part of the duration of a step. */
        public Builder stepBase(Duration value) {
            stepBase = value;
            return this;
        }

        /** Sets the duration that each decoding sequence adds to a step. */
        public Builder stepPerSequence(Duration value) {
            stepPerSequence = value;
            return this;
        }

        /** Sets the maximum number of prompt tokens that one step processes. */
        public Builder chunkTokens(int value) {
            chunkTokens = value;
            return this;
        }

        /** Sets the maximum number of sequences in a batch. */
        public Builder batchSlots(int value) {
            batchSlots = value;
            return this;
        }

        /** Sets the maximum number of sequences that wait for a place in the batch. */
        public Builder maxWaiting(int value) {
            maxWaiting = value;
            return this;
        }

        /** Sets the KV memory, in tokens. */
        public Builder capacityTokens(long value) {
            capacityTokens = value;
            return this;
        }

        /** Sets the typical delay until cache events become visible. */
        public Builder cacheEventLag(Duration value) {
            cacheEventLag = value;
            return this;
        }

        /** Sets the probability that a cache event is lost. */
        public Builder cacheEventLoss(double value) {
            cacheEventLoss = value;
            return this;
        }

        /** Sets the interval at which the load is sampled. */
        public Builder loadReportInterval(Duration value) {
            loadReportInterval = value;
            return this;
        }

        /** Sets the time from an order to load a model until the model is ready. */
        public Builder loadTime(Duration value) {
            loadTime = value;
            return this;
        }

        /** Sets whether orders with an old fencing number are refused. */
        public Builder checksFencing(boolean value) {
            checksFencing = value;
            return this;
        }

        /** Sets the models that are loaded when the engine starts. */
        public Builder models(ImmutableSet<ModelId> value) {
            models = value;
            return this;
        }

        /** Sets the role with which the engine starts. */
        public Builder role(String value) {
            role = value;
            return this;
        }

        /** Returns the settings. */
        public EngineSettings build() {
            return new EngineSettings(
                    prefillTokensPerSecond,
                    stepBase,
                    stepPerSequence,
                    chunkTokens,
                    batchSlots,
                    maxWaiting,
                    capacityTokens,
                    cacheEventLag,
                    cacheEventLoss,
                    loadReportInterval,
                    loadTime,
                    checksFencing,
                    models,
                    role);
        }
    }
}
