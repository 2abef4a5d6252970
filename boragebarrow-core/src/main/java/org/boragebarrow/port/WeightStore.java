package org.boragebarrow.port;

import java.util.concurrent.CompletableFuture;

/** The platform's rate-limited store of model weights. */
public interface WeightStore {
    /** Returns the model loads that the store still allows in the present minute. */
    CompletableFuture<Integer> remainingLoads();
}
