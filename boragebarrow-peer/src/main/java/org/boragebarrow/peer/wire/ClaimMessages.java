package org.boragebarrow.peer.wire;

import org.boragebarrow.decision.claim.ClaimSwap;
import org.boragebarrow.peer.proto.ClaimSwapped;
import org.boragebarrow.peer.proto.Envelope;
import org.boragebarrow.port.TableService;
import org.boragebarrow.port.TableService.CommitResult;

/** Converts the messages between hosts and their zone's claim writer. */
public final class ClaimMessages {
    private ClaimMessages() {}

    /** Returns the message that requests a swap. */
    public static Envelope swap(long request, ClaimSwap swap) {
        org.boragebarrow.peer.proto.ClaimSwap message = org.boragebarrow.peer.proto.ClaimSwap.newBuilder()
                .setRequest(request)
                .setKey(swap.key())
                .setVersion(swap.expectedVersion())
                .setValue(swap.value())
                .build();
        return Envelope.newBuilder().setClaimSwap(message).build();
    }

    /** Decodes a swap. */
    public static ClaimSwap fromSwap(org.boragebarrow.peer.proto.ClaimSwap message) {
        return new ClaimSwap(message.getKey(), message.getVersion(), message.getValue());
    }

    /** Returns the message that reports the result of a swap. */
    public static Envelope swapped(long request, CommitResult result) {
        ClaimSwapped message = ClaimSwapped.newBuilder()
                .setRequest(request)
                .setResult(toResult(result))
                .build();
        return Envelope.newBuilder().setClaimSwapped(message).build();
    }

    private static ClaimSwapped.Result toResult(CommitResult result) {
        return switch (result) {
            case TableService.Committed committed -> ClaimSwapped.Result.COMMITTED;
            case TableService.Conflict conflict -> ClaimSwapped.Result.CONFLICT;
            case TableService.Unavailable unavailable -> ClaimSwapped.Result.UNAVAILABLE;
            case TableService.Unknown unknown -> ClaimSwapped.Result.UNKNOWN;
        };
    }

    /** Decodes the result of a swap. A result that this software version does not define is treated as unknown. */
    public static CommitResult fromResult(ClaimSwapped.Result result) {
        return switch (result) {
            case COMMITTED -> new TableService.Committed();
            case CONFLICT -> new TableService.Conflict();
            case UNAVAILABLE -> new TableService.Unavailable();
            case UNKNOWN, UNRECOGNIZED -> new TableService.Unknown();
        };
    }
}
