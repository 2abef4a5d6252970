package org.boragebarrow.standins.engine;

import org.boragebarrow.model.AttemptId;

/** Receives the tokens and ends of the sequences of an {@link EngineModel}. */
interface SequenceSink {
    /** Receives the index of a new token. */
    void onToken(AttemptId attempt, int index);

    /** Receives the end of a sequence that produced all its tokens. */
    void onEnd(AttemptId attempt);

    /** Receives the end of a sequence that the engine aborted. */
    void onStop(AttemptId attempt, String reason);
}
