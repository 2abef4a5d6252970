package org.boragebarrow.node.claim;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

import com.google.common.base.Ticker;
import com.google.common.collect.ImmutableSet;
import io.netty.channel.EventLoopGroup;
import org.boragebarrow.decision.claim.ClaimAnswer;
import org.boragebarrow.decision.claim.ClaimKey;
import org.boragebarrow.decision.claim.ClaimManager;
import org.boragebarrow.decision.claim.ClaimManagerEffect;
import org.boragebarrow.decision.claim.ClaimManagerEvent;
import org.boragebarrow.decision.placement.Role;
import org.boragebarrow.decision.table.TableAnswer;
import org.boragebarrow.decision.table.TableCall;
import org.boragebarrow.decision.table.TableCalls;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.ErrorKind;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.model.RequestException;
import org.boragebarrow.node.front.Claims;
import org.boragebarrow.node.log.EventLog;
import org.boragebarrow.node.log.LogEvent;
import org.boragebarrow.node.member.Members;
import org.boragebarrow.node.ring.DutyRing;
import org.boragebarrow.peer.link.PeerSender;
import org.boragebarrow.peer.proto.Envelope;
import org.boragebarrow.port.ObjectStore;
import org.boragebarrow.port.TableService;
import org.boragebarrow.port.TableService.CommitResult;

import static com.google.common.base.Preconditions.checkNotNull;

/** Runs {@link ClaimManager} on a dedicated thread. Thread-safe. */
public final class ClaimDuty implements Claims, AutoCloseable {
    private static final EventLog LOG = EventLog.of(ClaimDuty.class);

    private final ClaimManager manager = new ClaimManager();
    private final TableService table;
    private final Ticker ticker;
    private final Members members;
    private final ClaimWriterDuty writer;
    private final ClaimPurgerDuty purger;
    private final SwapRouter swapRouter;
    private final DutyRing<ClaimManagerEvent> ring;
    private final Map<AttemptId, PendingRequest> pendingRequests = new ConcurrentHashMap<>();

    private volatile int activeAttempts;

    private record PendingRequest(Executor executor, Listener listener) {}

    /** The collaborators of the duty. */
    public record Collaborators(
            Members members,
            PeerSender peers,
            TableService table,
            ObjectStore objects,
            Ticker ticker,
            EventLoopGroup timers) {}

    /** Creates the duty with the host's claim writer and claim purger, and starts their threads. */
    public ClaimDuty(Collaborators collaborators, DutyRing.Factory rings) {
        this.table = checkNotNull(collaborators.table());
        this.ticker = checkNotNull(collaborators.ticker());
        this.members = checkNotNull(collaborators.members());
        this.writer = new ClaimWriterDuty(table, ticker, rings);
        this.purger = new ClaimPurgerDuty(table, collaborators.objects(), ticker, rings);
        this.swapRouter =
                new SwapRouter(collaborators.members(), collaborators.peers(), writer, collaborators.timers());
        this.ring = rings.start("claim", this::handle);
    }

    @Override
    public void request(
            AttemptId attempt,
            ClaimKey key,
            String requestHash,
            long deadlineNanos,
            Executor executor,
            Listener listener) {
        pendingRequests.put(attempt, new PendingRequest(executor, listener));
        if (!ring.offer(new ClaimManagerEvent.Requested(attempt, key, requestHash, deadlineNanos))) {
            notifyListener(
                    attempt,
                    claimListener -> claimListener.onRefused(
                            RequestException.of(ErrorKind.OVERLOADED, "the queue of claim requests is full")
                                    .withUnknownExecutionStatus()));
        }
    }

    @Override
    public void abandon(AttemptId attempt) {
        pendingRequests.remove(attempt);
        ring.offerWithRetry(new ClaimManagerEvent.Abandoned(attempt));
    }

    @Override
    public void finish(AttemptId attempt, ClaimAnswer answer) {
        ring.offerWithRetry(new ClaimManagerEvent.Finished(attempt, answer));
    }

    @Override
    public void interrupt(AttemptId attempt) {
        ring.offerWithRetry(new ClaimManagerEvent.Interrupted(attempt));
    }

    /** Updates the hosts that are alive in any zone. */
    public void updateLiveHosts(ImmutableSet<HostIncarnation> live) {
        ring.offer(new ClaimManagerEvent.HostsListed(live));
    }

    /** Advances the time; the host that is its zone's claim writer also purges the organisations' expired claims. */
    public void tick(ImmutableSet<OrganisationId> organisations) {
        ring.offer(new ClaimManagerEvent.Ticked());
        purger.tick(members.holds(new Role.ClaimWriter()), organisations);
    }

    /** Handles a peer's message if it concerns claims; returns whether it does. */
    public boolean onMessage(HostIncarnation from, Envelope message) {
        return swapRouter.onMessage(from, message);
    }

    /** Returns the number of attempts for which this host still has to release a claim or record an outcome. */
    public int activeAttempts() {
        return activeAttempts;
    }

    private void handle(ClaimManagerEvent event) {
        for (ClaimManagerEffect effect : manager.apply(event, ticker.read())) {
            handle(effect);
        }
        activeAttempts = manager.activeAttempts();
    }

    private void handle(ClaimManagerEffect effect) {
        switch (effect) {
            case ClaimManagerEffect.Read read ->
                TableCalls.make(new TableCall.Get(read.key()), table)
                        .thenAccept(answer -> queueAnswer(read.callId(), answer));
            case ClaimManagerEffect.Swap swap ->
                swapRouter.write(
                        swap.swap(),
                        result -> handleSwapResult(swap.callId(), swap.swap().key(), result));
            case ClaimManagerEffect.Granted granted -> grant(granted.attempt());
            case ClaimManagerEffect.Refused refused ->
                notifyListener(
                        refused.attempt(),
                        listener -> listener.onRefused(RequestException.of(refused.kind(), refused.message())
                                .withUnknownExecutionStatus()));
            case ClaimManagerEffect.Replayed replayed ->
                notifyListener(replayed.attempt(), listener -> listener.onReplayed(replayed.answer()));
        }
    }

    private void grant(AttemptId attempt) {
        if (!notifyListener(attempt, Listener::onGranted)) {
            // The attempt no longer waits for the claim, so its call was not and will not be dispatched.
            ring.offerWithRetry(new ClaimManagerEvent.Abandoned(attempt));
        }
    }

    private boolean notifyListener(AttemptId attempt, Consumer<Listener> notification) {
        PendingRequest pending = pendingRequests.remove(attempt);
        if (pending == null) {
            return false;
        }
        pending.executor().execute(() -> notification.accept(pending.listener()));
        return true;
    }

    private void handleSwapResult(long call, String key, CommitResult result) {
        if (result instanceof TableService.Unknown) {
            LOG.write(LogEvent.CLAIM_IN_DOUBT, key);
        }
        queueAnswer(call, new TableAnswer.CommitFinished(result));
    }

    private void queueAnswer(long call, TableAnswer answer) {
        ring.offerWithRetry(new ClaimManagerEvent.Answered(call, answer));
    }

    @Override
    public void close() {
        ring.close();
        writer.close();
        purger.close();
    }
}
