package org.boragebarrow.http.platform;

/** The JSON messages of the weight store. */
public final class WeightMessages {
    private WeightMessages() {}

    /** Tells the model loads that the store still allows in the present minute. */
    public record RemainingAnswer(int remaining) {}
}
