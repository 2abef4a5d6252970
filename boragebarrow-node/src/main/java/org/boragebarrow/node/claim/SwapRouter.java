package org.boragebarrow.node.claim;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import io.netty.channel.EventLoopGroup;
import org.boragebarrow.decision.claim.ClaimSwap;
import org.boragebarrow.decision.member.Member;
import org.boragebarrow.decision.placement.Role;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.node.member.Members;
import org.boragebarrow.peer.link.PeerSender;
import org.boragebarrow.peer.proto.Envelope;
import org.boragebarrow.peer.wire.ClaimMessages;
import org.boragebarrow.port.TableService;
import org.boragebarrow.port.TableService.CommitResult;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Sends swaps to the zone's claim writer and returns its results. Thread-safe.
 *
 * <p>A swap whose result does not arrive within the timeout has an unknown result. If a swap cannot be sent to the
 * writer, this host's own writer applies it instead; several writers at once are harmless.
 */
final class SwapRouter {
    private static final long SWAP_TIMEOUT_MILLIS = 4_000;
    private static final Role WRITER_ROLE = new Role.ClaimWriter();

    private final Members members;
    private final PeerSender peers;
    private final ClaimWriterDuty localWriter;
    private final EventLoopGroup timers;
    private final AtomicLong lastRequestNumber = new AtomicLong();
    private final Map<Long, Consumer<CommitResult>> pendingSwaps = new ConcurrentHashMap<>();

    SwapRouter(Members members, PeerSender peers, ClaimWriterDuty localWriter, EventLoopGroup timers) {
        this.members = checkNotNull(members);
        this.peers = checkNotNull(peers);
        this.localWriter = checkNotNull(localWriter);
        this.timers = checkNotNull(timers);
    }

    /** Applies a swap; the listener is called exactly once. */
    void write(ClaimSwap swap, Consumer<CommitResult> listener) {
        Optional<Member> writer = members.holder(members.zone(), WRITER_ROLE)
                .filter(member -> !member.host().equals(members.self().host()));
        if (writer.isEmpty()) {
            localWriter.write(swap, listener);
            return;
        }
        long request = lastRequestNumber.incrementAndGet();
        pendingSwaps.put(request, listener);
        if (peers.send(writer.get().endpoint(), ClaimMessages.swap(request, swap))) {
            timers.next()
                    .schedule(
                            () -> complete(request, new TableService.Unknown()),
                            SWAP_TIMEOUT_MILLIS,
                            TimeUnit.MILLISECONDS);
            return;
        }
        pendingSwaps.remove(request);
        localWriter.write(swap, listener);
    }

    private void complete(long request, CommitResult result) {
        Consumer<CommitResult> listener = pendingSwaps.remove(request);
        if (listener != null) {
            listener.accept(result);
        }
    }

    /** Handles a peer's message if it concerns swaps; returns whether it does. */
    boolean onMessage(HostIncarnation from, Envelope message) {
        switch (message.getBodyCase()) {
            case CLAIM_SWAP -> serve(from, message.getClaimSwap());
            case CLAIM_SWAPPED ->
                complete(
                        message.getClaimSwapped().getRequest(),
                        ClaimMessages.fromResult(message.getClaimSwapped().getResult()));
            default -> {
                return false;
            }
        }
        return true;
    }

    private void serve(HostIncarnation from, org.boragebarrow.peer.proto.ClaimSwap swap) {
        long request = swap.getRequest();
        localWriter.write(
                ClaimMessages.fromSwap(swap),
                result -> members.find(from.host())
                        .ifPresent(
                                requester -> peers.send(requester.endpoint(), ClaimMessages.swapped(request, result))));
    }
}
