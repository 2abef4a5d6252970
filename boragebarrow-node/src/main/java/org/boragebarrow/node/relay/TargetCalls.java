package org.boragebarrow.node.relay;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import io.netty.buffer.ByteBuf;
import org.boragebarrow.decision.assign.HelperTarget;
import org.boragebarrow.decision.fleet.FleetTarget;
import org.boragebarrow.decision.fleet.TargetSignal;
import org.boragebarrow.http.client.ResponseOrigin;
import org.boragebarrow.http.client.UnexpectedBytes;
import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.model.UrgencyRank;
import org.boragebarrow.port.EngineClient;
import org.boragebarrow.port.TargetFailure;

/** Sends requests to targets. Implemented by the adapter for each deployment's protocol. */
public interface TargetCalls {
    /**
     * One request to one target.
     *
     * @param organisation the organisation that is named to the target as the caller
     * @param rank the rank of the request among those that wait at the target; empty if none is configured
     * @param remaining how long the target may work on the request
     * @param resumeAfter the id of the last event that the response need not repeat
     * @param helpers targets that each prefill a part of the prompt
     * @param reservation the name under which helpers reserve memory for a part of the prompt
     * @param reuseConnection whether a kept-alive connection may be used, although the target may be closing it
     */
    record Call(
            RelayRequest request,
            FleetTarget target,
            Optional<OrganisationId> organisation,
            Optional<UrgencyRank> rank,
            Duration remaining,
            OptionalLong resumeAfter,
            ImmutableList<HelperTarget> helpers,
            String reservation,
            boolean reuseConnection) {}

    /**
     * The head of a target's response.
     *
     * @param notRun whether the target states that the request did not run
     * @param otherIncarnation whether the address now belongs to another target or another incarnation of the target
     * @param genuine whether the response carries the target's signature, is for this request and is not re-encoded
     * @param causeTarget the target that the refusal names as its cause, verbatim; empty if it names none
     * @param asksForQuiet whether the target turned the request away and stated a time for which it wants no others
     * @param endsWithConnection whether nothing but the end of the connection shows the end of the body
     * @param headers the headers to forward to the caller
     */
    record Head(
            int status,
            boolean notRun,
            boolean otherIncarnation,
            boolean genuine,
            String causeTarget,
            boolean asksForQuiet,
            boolean endsWithConnection,
            ImmutableListMultimap<String, String> headers) {
        private static final int SUCCESS = 200;
        private static final int REDIRECTION = 300;

        /** Returns whether the status is a success status. */
        public boolean isSuccess() {
            return status >= SUCCESS && status < REDIRECTION;
        }
    }

    /** Receives a response incrementally on one event loop; is not called after its end, failure or closing. */
    interface Listener {
        /** Receives where the response comes from, directly before its head. */
        default void onOrigin(ResponseOrigin origin) {}

        /** Receives the head. */
        void onHead(Head head);

        /** Receives a chunk of the body, which is valid only during this call. */
        void onBody(ByteBuf chunk);

        /** Receives the end of a complete response. */
        void onEnd();

        /** Receives the failure of the connection, also if the response was truncated. */
        void onFailure(TargetFailure failure);
    }

    /** Receives what targets announce in their answers, on the event loop of the call. */
    interface SignalListener {
        /** Receives a signal of the incarnation to which the answered request was sent. */
        void onSignal(FleetTarget target, TargetSignal signal);
    }

    /** Sets what receives the signals in all answers: to requests, whole or begun, to refused ones, and to reservations. */
    void setSignalListener(SignalListener listener);

    /** Sets what is told of bytes that targets send and that belong to no call. */
    default void setUnexpectedBytesListener(UnexpectedBytes.Listener listener) {}

    /** Sends the call; closing the handle signals to the target that the caller no longer waits. */
    EngineClient.CallHandle start(Call call, Listener listener);

    /**
     * Opens a connection without sending a request; returns whether the target refuses it, as it does while its process does
     * not run. A target that does not respond counts as not refusing.
     */
    CompletableFuture<Boolean> refusesConnection(FleetTarget target);

    /**
     * Reserves memory of a target, or renews the reservation. The future fails if the target refuses or does not
     * respond; the memory may be reserved nevertheless.
     */
    CompletableFuture<Void> reserve(FleetTarget target, String reservation, long tokens, Duration lifetime);

    /** Releases reserved memory. */
    CompletableFuture<Void> release(FleetTarget target, String reservation);
}
