package org.boragebarrow.node.relay;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import io.netty.buffer.ByteBuf;
import org.boragebarrow.decision.assign.Helper;
import org.boragebarrow.decision.fleet.FleetTarget;
import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.port.EngineClient;
import org.boragebarrow.port.TargetFailure;

/** Sends requests to targets. Implemented by the adapter of each deployment's protocol. */
public interface TargetCalls {
    /**
     * One request to one target.
     *
     * @param organisation whom the target is told the request is for
     * @param remaining how long the target may work on it
     * @param resumeAfter the last event that the answer need not repeat
     * @param helpers targets that read a part of the prompt each
     * @param reservation the name under which helpers keep a part of the prompt's memory
     * @param reuse whether a kept-alive connection, which the target may just be closing, may be used
     */
    record Call(
            RelayRequest request,
            FleetTarget target,
            Optional<OrganisationId> organisation,
            Duration remaining,
            OptionalLong resumeAfter,
            ImmutableList<Helper> helpers,
            String reservation,
            boolean reuse) {}

    /**
     * The head of a target's answer.
     *
     * @param notRun whether the target vouches that the request did not run
     * @param otherLife whether another target, or another life of it, has the address now
     * @param genuine whether the answer bears the target's signature, belongs to this request and is not re-encoded
     * @param culprit the target that the refusal names as its cause, in the target's words; empty if it names none
     * @param headers what is passed on to the caller
     */
    record Head(
            int status,
            boolean notRun,
            boolean otherLife,
            boolean genuine,
            String culprit,
            ImmutableListMultimap<String, String> headers) {
        private static final int SUCCESS = 200;
        private static final int REDIRECTION = 300;

        /** Returns whether the status tells of success. */
        public boolean isSuccess() {
            return status >= SUCCESS && status < REDIRECTION;
        }
    }

    /** Receives an answer as it comes, on one event loop; after its end, failure or closing no more. */
    interface Listener {
        /** Receives the head. */
        void onHead(Head head);

        /** Receives a part of the body, which is valid during the call only. */
        void onBody(ByteBuf part);

        /** Receives the end of an answer that came whole. */
        void onEnd();

        /** Receives the failure of the connection, also when the answer ended short. */
        void onFailure(TargetFailure failure);
    }

    /** Sends the call; closing the handle tells the target that nobody waits any more. */
    EngineClient.Handle start(Call call, Listener listener);

    /**
     * Sets memory of a target aside, or renews that; the future fails if the target refuses or does not answer, and the
     * memory may be set aside all the same.
     */
    CompletableFuture<Void> reserve(FleetTarget target, String reservation, long tokens, Duration hold);

    /** Gives memory back. */
    CompletableFuture<Void> release(FleetTarget target, String reservation);
}
