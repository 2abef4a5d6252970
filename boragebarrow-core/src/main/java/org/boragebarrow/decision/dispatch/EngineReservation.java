package org.boragebarrow.decision.dispatch;

import com.google.common.collect.ImmutableList;

/**
 * Engines that are reserved for a request which does not fit on them yet.
 *
 * <p>Other requests may still use these engines if they leave enough room for the request or are predicted to end
 * before it starts.
 *
 * @param tokensPerEngine the KV memory that the request needs on each engine, in tokens
 * @param startNanos when the request is predicted to fit
 */
record EngineReservation(
        QueuedRequest queued, ImmutableList<EngineView> engines, long tokensPerEngine, long startNanos) {}
