package org.boragebarrow.decision.assign;

import org.boragebarrow.decision.routing.EngineProfile;

/** One prompt that simulated engines process. */
final class SimulatedRequest {
    final Work work;
    final SimulatedLoad.Kind kind;
    final double arrivedAt;
    private final int events;
    private double remainingTokens;
    private int parts = 1;
    private int sentEvents;
    private boolean decoding;
    private double firstEventAt = -1;
    private double lastEventAt = -1;
    private double longestPause;
    private double endedAt = -1;

    SimulatedRequest(Work work, SimulatedLoad.Kind kind, int events, double arrivedAt) {
        this.work = work;
        this.kind = kind;
        this.events = events;
        this.arrivedAt = arrivedAt;
        this.remainingTokens = work.size().orElseThrow().promptTokens();
    }

    void setParts(int count) {
        parts = count;
    }

    /** Returns the time to prefill some tokens of a part; the cost of token pairs is divided evenly between parts. */
    double prefillMillis(EngineProfile profile, double from, double tokens, double partTokens) {
        if (parts == 1) {
            return profile.prefillMillis((long) (from + tokens)) - profile.prefillMillis((long) from);
        }
        double total = profile.prefillMillis(work.size().orElseThrow().promptTokens());
        return total / parts * tokens / partTokens;
    }

    void onPrefilled(double tokens) {
        remainingTokens -= tokens;
    }

    boolean isPrefilled() {
        return remainingTokens < 0.5;
    }

    void startDecoding() {
        decoding = true;
    }

    boolean isDecoding() {
        return decoding;
    }

    void onEvent(double now) {
        if (firstEventAt < 0) {
            firstEventAt = now;
        } else {
            longestPause = Math.max(longestPause, now - lastEventAt);
        }
        lastEventAt = now;
        sentEvents++;
        if (sentEvents >= events) {
            endedAt = now;
        }
    }

    boolean hasFirstEvent() {
        return firstEventAt >= 0;
    }

    boolean isDone() {
        return endedAt >= 0;
    }

    /** Returns the time of the last event, or of the arrival if there is none yet. */
    double lastEventOrArrivalAt() {
        return hasFirstEvent() ? lastEventAt : arrivedAt;
    }

    double timeToFirstEventMillis() {
        return firstEventAt < 0 ? Double.MAX_VALUE : firstEventAt - arrivedAt;
    }

    double longestPause() {
        return longestPause;
    }

    double contextTokens() {
        return work.size().orElseThrow().totalTokens();
    }
}
