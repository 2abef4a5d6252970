package org.boragebarrow.decision.assign;

import org.boragebarrow.decision.routing.EngineProfile;

/** One prompt that simulated engines process. */
final class SimulatedRequest {
    final Work work;
    final SimulatedLoad.Kind kind;
    final double arrivedAt;
    private final int events;
    private double tokensLeft;
    private int parts = 1;
    private int sent;
    private boolean writing;
    private double firstAt = -1;
    private double lastAt = -1;
    private double longestPause;
    private double endedAt = -1;

    SimulatedRequest(Work work, SimulatedLoad.Kind kind, int events, double arrivedAt) {
        this.work = work;
        this.kind = kind;
        this.events = events;
        this.arrivedAt = arrivedAt;
        this.tokensLeft = work.size().orElseThrow().promptTokens();
    }

    void setParts(int count) {
        parts = count;
    }

    /** Returns the time to prefill some tokens of a part; the cost of token pairs is divided evenly between parts. */
    double readMillis(EngineProfile profile, double from, double tokens, double partTokens) {
        if (parts == 1) {
            return profile.readMillis((long) (from + tokens)) - profile.readMillis((long) from);
        }
        double total = profile.readMillis(work.size().orElseThrow().promptTokens());
        return total / parts * tokens / partTokens;
    }

    void onRead(double tokens) {
        tokensLeft -= tokens;
    }

    boolean isRead() {
        return tokensLeft < 0.5;
    }

    void writesInPass() {
        writing = true;
    }

    boolean isWriting() {
        return writing;
    }

    void onEvent(double now) {
        if (firstAt < 0) {
            firstAt = now;
        } else {
            longestPause = Math.max(longestPause, now - lastAt);
        }
        lastAt = now;
        sent++;
        if (sent >= events) {
            endedAt = now;
        }
    }

    boolean hasFirst() {
        return firstAt >= 0;
    }

    boolean isDone() {
        return endedAt >= 0;
    }

    /** Returns the time of the last event, or of the arrival if there is none yet. */
    double heardAt() {
        return hasFirst() ? lastAt : arrivedAt;
    }

    double firstMillis() {
        return firstAt < 0 ? Double.MAX_VALUE : firstAt - arrivedAt;
    }

    double longestPause() {
        return longestPause;
    }

    double contextTokens() {
        return work.size().orElseThrow().total();
    }
}
