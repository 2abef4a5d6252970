package org.boragebarrow.decision.dispatch;

import com.google.common.collect.ImmutableList;

/**
 * The engines selected for a prompt that can run now, with its predicted times.
 *
 * @param engines the engines in target id order; the first one is the head of a gang
 * @param tokensPerEngine the KV memory used on each engine, in tokens
 * @param prefillTokensPerEngine the prefill work on each engine, in tokens
 * @param startSeconds the predicted time until the first token
 * @param finishSeconds the predicted time until the last token
 */
record PlacementDecision(
        ImmutableList<EngineView> engines,
        long tokensPerEngine,
        double prefillTokensPerEngine,
        double startSeconds,
        double finishSeconds) {}
