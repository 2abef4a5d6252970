package org.boragebarrow.decision.dispatch;

import com.google.common.collect.ImmutableList;

/**
 * Engines that are kept for a request which does not fit yet.
 *
 * <p>Other work may still use them where it leaves room or ends before the promised start.
 *
 * @param tokensEach the KV memory that the request needs on each engine, in tokens
 * @param startNanos when the request is predicted to fit
 */
record Hold(Queued queued, ImmutableList<EngineView> engines, long tokensEach, long startNanos) {}
