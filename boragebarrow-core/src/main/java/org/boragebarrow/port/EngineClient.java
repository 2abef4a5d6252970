package org.boragebarrow.port;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.ModelId;
import org.boragebarrow.model.RequestId;
import org.boragebarrow.model.Target;

/** Starts sequences on model engines and streams their tokens; {@link EngineControl} has the other operations. */
public interface EngineClient {
    /**
     * Submits a sequence.
     *
     * <p>The listener is called by one thread at a time, and not after {@link Listener#onEnd} or {@link
     * Listener#onFailure}.
     */
    CallHandle submit(Target engine, Submission submission, Listener listener);

    /**
     * A request to start or resume a sequence.
     *
     * @param body the caller's unchanged JSON body, as read-only views that are not copied
     * @param delivered UTF-8 text of the tokens that the caller has already received, which is appended to the prompt;
     *     empty in the first attempt
     * @param firstIndex the index of the first token that the caller has not received yet
     * @param resume whether the engine should resume its own sequence instead of starting a new one
     * @param priority lower numbers run first
     * @param remaining the time until the request's deadline
     * @param gang the id of the reservation, for a prompt that exceeds the memory of one engine
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
    interface CallHandle {
        /** Closes the connection. The engine's sequence must be cancelled through {@link EngineControl}. */
        void close();

        /** Returns whether any byte of the request may have been written to a connection. */
        boolean isSent();

        /** Stops or resumes reading from the connection, which limits what the host buffers for a slow caller. */
        void setReadEnabled(boolean enabled);
    }

    /** Receives the events of a sequence. */
    interface Listener {
        /** Receives one token. */
        void onToken(int index, String text);

        /** Receives the end event of the sequence, which has {@code count} tokens in total. */
        void onEnd(int count, int promptTokens, String finishReason);

        /** Called when the connection fails or the engine refuses the sequence. */
        void onFailure(TargetFailure failure);
    }
}
