package org.boragebarrow.port;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.ModelId;
import org.boragebarrow.model.RequestId;
import org.boragebarrow.model.Target;

/** Starts sequences on model engines and streams their tokens back; see {@link EngineControl} for the rest. */
public interface EngineClient {
    /**
     * Submits a sequence.
     *
     * <p>The listener is called from one thread at a time, and after {@link Listener#onEnd} or {@link
     * Listener#onFailure} no more.
     */
    Handle submit(Target engine, Submission submission, Listener listener);

    /**
     * One sequence to run.
     *
     * @param body the caller's JSON body, unchanged; read-only views, never copied
     * @param delivered UTF-8 text of the tokens that the caller already has, which continue the prompt; empty at first
     * @param firstIndex the index of the first token that the caller still lacks
     * @param resume whether the engine should resume its own sequence instead of starting another
     * @param priority lower numbers run first
     * @param remaining the time left until the request's time limit
     * @param gang the reservation of a prompt that is larger than one engine
     */
    record Submission(
            RequestId request,
            AttemptId attempt,
            ModelId model,
            ImmutableList<ByteBuffer> body,
            ByteBuffer delivered,
            int promptTokens,
            int maxTokens,
            int firstIndex,
            boolean resume,
            int priority,
            Duration remaining,
            Optional<String> gang) {}

    /** A sequence in progress; thread-safe. */
    interface Handle {
        /** Stops reading and drops the connection; the engine's sequence is cancelled through {@link EngineControl}. */
        void close();

        /** Stops or continues reading, so that a slow caller bounds what the host buffers. */
        void setReading(boolean reading);
    }

    /** Receives a sequence's events. */
    interface Listener {
        /** Receives one token. */
        void onToken(int index, String text);

        /** Receives the explicit end: the sequence has {@code count} tokens in all. */
        void onEnd(int count, int promptTokens, String finishReason);

        /** Receives the failure of the connection or a refusal by the engine. */
        void onFailure(TargetFailure failure);
    }
}
