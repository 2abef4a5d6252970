package org.boragebarrow.standins.engine;

import org.boragebarrow.model.AttemptId;

/** Receives what the sequences of an {@link EngineModel} produce. */
interface SequenceSink {
    /** Receives the index of a new token. */
    void onToken(AttemptId attempt, int index);

    /** Receives the end of a sequence that produced all its tokens. */
    void onEnd(AttemptId attempt);

    /** Receives the end of a sequence that the engine gave up. */
    void onStop(AttemptId attempt, String reason);
}
