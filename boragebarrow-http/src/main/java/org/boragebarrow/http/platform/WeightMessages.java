package org.boragebarrow.http.platform;

/** The JSON messages of the weight store. */
public final class WeightMessages {
    private WeightMessages() {}

    /** The number of model loads that the store still allows in the current minute. */
    public record RemainingAnswer(int remaining) {}
}
