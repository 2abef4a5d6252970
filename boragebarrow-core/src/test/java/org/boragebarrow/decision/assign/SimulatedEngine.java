package org.boragebarrow.decision.assign;

import java.util.ArrayList;
import java.util.List;

import org.boragebarrow.decision.routing.EngineProfile;

/**
 * An engine that works in passes: each decoding request gets one event per pass, and prompts are prefilled in between.
 * A helper's part is prefilled before all other work, including earlier helpers' parts. Times are milliseconds.
 */
final class SimulatedEngine {
    private final EngineProfile profile;
    private final List<Part> parts = new ArrayList<>();
    private double passEndsAt = -1;
    private boolean passDecodes;
    private double slowness = 1;

    /** The part of one request that an engine processes; {@code remainingTokens} decreases with its prefill. */
    static final class Part {
        final SimulatedRequest request;
        final boolean helper;
        final double tokens;
        double remainingTokens;

        Part(SimulatedRequest request, boolean helper, double tokens) {
            this.request = request;
            this.helper = helper;
            this.tokens = tokens;
            this.remainingTokens = tokens;
        }
    }

    SimulatedEngine(EngineProfile profile) {
        this.profile = profile;
    }

    /** Makes all passes from the next one on take longer by the factor. */
    void setSlowness(double factor) {
        slowness = factor;
    }

    boolean isIdle() {
        return parts.isEmpty();
    }

    double passEndsAt() {
        return passEndsAt;
    }

    void add(Part part, double now) {
        parts.add(part.helper ? 0 : parts.size(), part);
        if (passEndsAt < 0) {
            beginPass(now);
        }
    }

    boolean hasPartOf(SimulatedRequest request) {
        return parts.stream().anyMatch(part -> part.request == request);
    }

    void cancel(SimulatedRequest request) {
        parts.removeIf(part -> part.request == request);
    }

    /** Ends the pass and begins the next one. */
    void endPass(double now) {
        for (Part part : List.copyOf(parts)) {
            if (!part.helper && part.request.isPrefilled() && passDecodes && part.request.isDecoding()) {
                part.request.onEvent(now);
            }
        }
        parts.removeIf(part -> part.request.isDone() || (part.helper && part.remainingTokens <= 0));
        passEndsAt = -1;
        if (!parts.isEmpty()) {
            beginPass(now);
        }
    }

    private void beginPass(double now) {
        double step = profile.stepMillis();
        int decoding = 0;
        for (Part part : parts) {
            if (!part.helper && part.request.isPrefilled()) {
                part.request.startDecoding();
                decoding++;
                step += profile.stepMillisPerSequence();
                step += profile.stepMillisPerThousandTokens() * part.request.contextTokens() / 1_000;
            }
        }
        passDecodes = decoding > 0;
        int steps = passDecodes ? profile.stepsPerPass() : 1;
        double millis = passDecodes ? steps * step : step;
        millis += prefill((double) steps * profile.chunkTokens());
        passEndsAt = now + slowness * millis;
    }

    private double prefill(double maxTokens) {
        double available = maxTokens;
        double millis = 0;
        for (Part part : parts) {
            double tokens = Math.min(available, part.remainingTokens);
            if (tokens <= 0) {
                continue;
            }
            millis += part.request.prefillMillis(profile, part.tokens - part.remainingTokens, tokens, part.tokens);
            part.remainingTokens -= tokens;
            part.request.onPrefilled(tokens);
            available -= tokens;
        }
        return millis;
    }
}
