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
    private double passEnds = -1;
    private boolean passWrites;

    /** The part of one request that an engine processes; {@code remainingTokens} decreases with its prefill. */
    static final class Part {
        final SimulatedRequest request;
        final boolean helper;
        final double tokens;
        double tokensLeft;

        Part(SimulatedRequest request, boolean helper, double tokens) {
            this.request = request;
            this.helper = helper;
            this.tokens = tokens;
            this.tokensLeft = tokens;
        }
    }

    SimulatedEngine(EngineProfile profile) {
        this.profile = profile;
    }

    double passEnds() {
        return passEnds;
    }

    void add(Part part, double now) {
        parts.add(part.helper ? 0 : parts.size(), part);
        if (passEnds < 0) {
            beginPass(now);
        }
    }

    boolean holds(SimulatedRequest request) {
        return parts.stream().anyMatch(part -> part.request == request);
    }

    void drop(SimulatedRequest request) {
        parts.removeIf(part -> part.request == request);
    }

    /** Ends the pass and begins the next one. */
    void step(double now) {
        for (Part part : List.copyOf(parts)) {
            if (!part.helper && part.request.isRead() && passWrites && part.request.isWriting()) {
                part.request.onEvent(now);
            }
        }
        parts.removeIf(part -> part.request.isDone() || (part.helper && part.tokensLeft <= 0));
        passEnds = -1;
        if (!parts.isEmpty()) {
            beginPass(now);
        }
    }

    private void beginPass(double now) {
        double step = profile.stepMillis();
        int decoding = 0;
        for (Part part : parts) {
            if (!part.helper && part.request.isRead()) {
                part.request.writesInPass();
                decoding++;
                step += profile.stepMillisPerWriter();
                step += profile.stepMillisPerThousandTokens() * part.request.contextTokens() / 1_000;
            }
        }
        passWrites = decoding > 0;
        int steps = passWrites ? profile.stride() : 1;
        double millis = passWrites ? steps * step : step;
        millis += read((double) steps * profile.chunkTokens());
        passEnds = now + millis;
    }

    private double read(double maxTokens) {
        double available = maxTokens;
        double millis = 0;
        for (Part part : parts) {
            double tokens = Math.min(available, part.tokensLeft);
            if (tokens <= 0) {
                continue;
            }
            millis += part.request.readMillis(profile, part.tokens - part.tokensLeft, tokens, part.tokens);
            part.tokensLeft -= tokens;
            part.request.onRead(tokens);
            available -= tokens;
        }
        return millis;
    }
}
