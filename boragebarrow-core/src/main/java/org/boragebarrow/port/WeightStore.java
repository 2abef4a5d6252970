package org.boragebarrow.port;

import java.util.concurrent.CompletableFuture;

/** The platform's store of model weights, which limits the rate of model loads. */
public interface WeightStore {
    /** Returns the number of model loads that the store still allows in the current minute. */
    CompletableFuture<Integer> remainingLoads();
}
