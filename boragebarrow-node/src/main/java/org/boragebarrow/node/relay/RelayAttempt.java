package org.boragebarrow.node.relay;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.netty.buffer.ByteBuf;
import io.netty.util.concurrent.Future;
import org.boragebarrow.decision.assign.Assignment;
import org.boragebarrow.decision.assign.HelperTarget;
import org.boragebarrow.decision.assign.Outcome;
import org.boragebarrow.decision.fleet.FleetTarget;
import org.boragebarrow.decision.fleet.TargetIncarnation;
import org.boragebarrow.http.client.ResponseOrigin;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.port.EngineClient;
import org.boragebarrow.port.TargetFailure;

/** One attempt of an exchange at one target; confined to the event loop. */
final class RelayAttempt implements TargetCalls.Listener {
    /** Statuses by which a host reports that a request did not run; a target that reports this also sets a header. */
    private static final ImmutableSet<Integer> NOT_RUN_STATUSES = ImmutableSet.of(408, 421, 429, 503);

    /** The lowest status of the errors that another attempt may avoid. */
    private static final int MIN_SERVER_ERROR = 500;

    /** Interval between checks of a stalled attempt: an alternative may become available within a few passes. */
    private static final Duration STALL_RECHECK_INTERVAL = Duration.ofMillis(300);

    private final RelayContext context;
    private final RelayExchange exchange;
    private final AttemptId id;
    private final Assignment assignment;
    private final PromptReservations reservations;
    private final ResponseBuffer buffer;
    private Optional<EngineClient.CallHandle> handle = Optional.empty();
    private Optional<Future<?>> stallTimer = Optional.empty();
    private Optional<ResponseOrigin> origin = Optional.empty();
    private Optional<TargetCalls.Head> head = Optional.empty();
    private Duration longestPause = Duration.ZERO;
    private Duration expectedPause = Duration.ZERO;
    private long expectedPauseAt;
    private long sentAt;
    private long lastProgressAt;
    private long timeToFirstEventMillis = -1;
    private long relayedBytes;
    private boolean closed;

    RelayAttempt(RelayContext context, RelayExchange exchange, AttemptId id, Assignment assignment) {
        this.context = context;
        this.exchange = exchange;
        this.id = id;
        this.assignment = assignment;
        this.reservations =
                new PromptReservations(context, assignment.helpers(), reservationName(), this::onReservationExpiring);
        this.buffer = new ResponseBuffer(context.responses()
                .open(assignment.target().id(), assignment.target().service(), this::giveWay));
    }

    AttemptId id() {
        return id;
    }

    Assignment assignment() {
        return assignment;
    }

    FleetTarget target() {
        return assignment.target();
    }

    ImmutableList<TargetId> helpers() {
        return assignment.helpers().stream()
                .map(helper -> helper.target().id())
                .collect(ImmutableList.toImmutableList());
    }

    Duration predictedTimeToFirstEvent() {
        return assignment.predictedTimeToFirstEvent();
    }

    /** Returns the milliseconds from sending to the first event, or -1 if none has been received. */
    long timeToFirstEventMillis() {
        return timeToFirstEventMillis;
    }

    /** Returns the time after which the answer is later than nearly all such answers lately. */
    Optional<Duration> lateAfter() {
        return assignment.lateAfter();
    }

    /** Returns whether the attempt has ended or its answer has begun. */
    boolean hasAnswered() {
        boolean begun = exchange.route().kind().streamed() ? timeToFirstEventMillis >= 0 : head.isPresent();
        return closed || begun;
    }

    Duration longestPause() {
        return longestPause;
    }

    /** Returns where the response comes from, once its head has been received. */
    Optional<ResponseOrigin> origin() {
        return origin;
    }

    /** Returns whether the attempt needs the target, to answer it or to store a part of its prompt. */
    boolean needs(TargetIncarnation incarnation) {
        return assignment.needed().stream()
                .anyMatch(needed -> needed.incarnation().equals(incarnation));
    }

    /** Returns whether the target may have received any part of the request. */
    boolean isSent() {
        return handle.map(EngineClient.CallHandle::isSent).orElse(false);
    }

    /** Returns a target that the request would reach and that accepts no new work, whether the request needs it or not. */
    Optional<FleetTarget> findUnusable() {
        return Stream.concat(
                        Stream.of(assignment.target()),
                        assignment.helpers().stream().map(HelperTarget::target))
                .filter(target -> !exchange.mayReach(target))
                .findFirst();
    }

    /** Returns the phase of the attempt, for the log. */
    String state() {
        if (handle.isEmpty()) {
            return "reserving";
        }
        return timeToFirstEventMillis < 0 ? "sent" : "streaming";
    }

    /** Sends the request once the memory that it needs on helpers has been reserved. */
    void start() {
        if (reservations.isEmpty()) {
            send();
            return;
        }
        reservations.reserve().whenComplete((done, failure) -> context.loop().execute(() -> onReserved(failure)));
    }

    private void onReserved(Throwable failure) {
        if (closed) {
            return;
        }
        if (failure != null) {
            fail(Outcome.REFUSED, false, "memory reservation failed: " + failure.getMessage());
            return;
        }
        // Reserving takes a while, in which a target may have begun to drain.
        if (!exchange.takeBackIfUnusable(this)) {
            send();
        }
    }

    /** Moves the request while it can, as targets cut it off once the memory of its prompt has expired. */
    private void onReservationExpiring() {
        if (!closed && timeToFirstEventMillis < 0 && exchange.tryAcquireRetry(true)) {
            String reason = "the memory on a helper cannot be renewed in its quiet time";
            exchange.endAttempt(this, Outcome.WITHDRAWN, handle.isPresent(), true, reason);
        }
    }

    private void send() {
        sentAt = context.ticker().read();
        lastProgressAt = sentAt;
        boolean repeatable = exchange.route().kind().repeatable();
        TargetCalls.Call call = new TargetCalls.Call(
                exchange.request(),
                assignment.target(),
                exchange.organisation(),
                exchange.rank(),
                exchange.remaining(),
                exchange.sequence().lastId(),
                usableHelpers(),
                reservationName(),
                repeatable);
        handle = Optional.of(context.calls().start(call, this));
        if (repeatable) {
            scheduleStallCheck(stallTimeout());
        }
        exchange.onSent(this);
    }

    /** Sets whether the target's answer is read. */
    void setReadEnabled(boolean enabled) {
        handle.ifPresent(openCall -> openCall.setReadEnabled(enabled));
    }

    /** A helper that stores tokens is always needed; one that only does prefill is omitted if it is not usable. */
    private ImmutableList<HelperTarget> usableHelpers() {
        return assignment.helpers().stream()
                .filter(helper -> helper.storedTokens() > 0 || exchange.mayReach(helper.target()))
                .collect(ImmutableList.toImmutableList());
    }

    private String reservationName() {
        return id.toString().replace('#', '-').replace('/', '-');
    }

    /** Reserves memory on a target that will not be asked again for some time, until the given time has passed. */
    void extendReservations(TargetIncarnation target, Duration time) {
        reservations.extend(target, time);
    }

    /** Ends the call, if it has not ended, and reports the outcome to the assigner. */
    void close(Outcome outcome) {
        if (closed) {
            return;
        }
        closed = true;
        stallTimer.ifPresent(timer -> timer.cancel(false));
        handle.ifPresent(EngineClient.CallHandle::close);
        buffer.releaseIncomplete();
        reservations.release();
        context.assignments().reportEnd(id, outcome);
    }

    private void scheduleStallCheck(Duration delay) {
        stallTimer = Optional.of(context.loop().schedule(this::checkStall, delay.toNanos(), TimeUnit.NANOSECONDS));
    }

    /** Returns whether the target has been unresponsive for longer than the stall timeout. */
    boolean isStalled() {
        return nanosUntilStall() <= RelayExchange.TIMER_SLACK_NANOS;
    }

    private long nanosUntilStall() {
        return stallTimeout().toNanos() - (context.ticker().read() - lastProgressAt);
    }

    private Duration stallTimeout() {
        Duration ordinary = timeToFirstEventMillis < 0
                ? StallTimeouts.firstEventTimeout(exchange.route(), assignment.predictedTimeToFirstEvent())
                : StallTimeouts.pauseTimeout(exchange.route());
        // The pass in progress ends before the one that was announced begins.
        long announcedFor = expectedPause.multipliedBy(2).toNanos();
        boolean announced = announcedFor > 0 && context.ticker().read() - expectedPauseAt < announcedFor;
        return announced ? StallTimeouts.extended(exchange.route(), ordinary, expectedPause) : ordinary;
    }

    /** Records that the target is predicted to send no events for some time soon. */
    void expectPause(Duration pause) {
        expectedPause = pause;
        expectedPauseAt = context.ticker().read();
    }

    private void checkStall() {
        if (closed) {
            return;
        }
        if (!isStalled()) {
            scheduleStallCheck(Duration.ofNanos(nanosUntilStall()));
            return;
        }
        if (exchange.response().isWritable() && exchange.canRetry(true)) {
            exchange.requestAlternative(this);
            return;
        }
        // While the caller does not read its response, the target is not read either and only seems to be stalled.
        keepWaiting();
    }

    /** Continues to wait after a stall. */
    void keepWaiting() {
        scheduleStallCheck(STALL_RECHECK_INTERVAL);
    }

    private void fail(Outcome outcome, boolean ran, String reason) {
        exchange.onAttemptFailed(this, outcome, ran, reason);
    }

    @Override
    public void onOrigin(ResponseOrigin received) {
        origin = Optional.of(received);
    }

    @Override
    public void onHead(TargetCalls.Head received) {
        if (closed) {
            return;
        }
        if (received.otherIncarnation()) {
            fail(Outcome.REPLACED, false, "the address belongs to another target or incarnation");
            return;
        }
        if (received.notRun()) {
            fail(Outcome.REFUSED, false, "refused with status " + received.status() + " by " + received.causeTarget());
            return;
        }
        if (!received.genuine()) {
            fail(
                    Outcome.FAILED,
                    true,
                    "response with status " + received.status() + " is unsigned, re-encoded or for another request");
            return;
        }
        if (!received.isSuccess() && (exchange.isResponseStarted() || NOT_RUN_STATUSES.contains(received.status()))) {
            // A target that asks for quiet is not failing.
            Outcome outcome = received.asksForQuiet() ? Outcome.REFUSED : Outcome.FAILED;
            fail(outcome, true, "failed with status " + received.status());
            return;
        }
        if (received.status() >= MIN_SERVER_ERROR && exchange.tryAcquireOther()) {
            exchange.endAttempt(this, Outcome.FAILED, true, true, "failed with status " + received.status());
            return;
        }
        head = Optional.of(received);
    }

    private boolean isStreaming() {
        return exchange.route().kind().streamed()
                && head.map(TargetCalls.Head::isSuccess).orElse(false);
    }

    @Override
    public void onBody(ByteBuf chunk) {
        if (closed) {
            return;
        }
        List<EventSplitter.Event> events = List.of();
        try {
            if (isStreaming()) {
                events = buffer.addToStream(chunk);
            } else {
                buffer.addToBody(chunk);
            }
        } catch (IllegalArgumentException e) {
            fail(Outcome.FAILED, true, e.getMessage());
            return;
        }
        if (isStreaming()) {
            deliverAll(events);
        }
    }

    private void deliverAll(List<EventSplitter.Event> events) {
        for (EventSplitter.Event event : events) {
            if (!deliver(event)) {
                return;
            }
        }
        buffer.releaseCompleteEvents();
    }

    /** Ends the response, whose memory others need. */
    private void giveWay() {
        if (!closed) {
            fail(Outcome.FAILED, true, "the response held " + buffer.heldBytes() + " bytes that others needed");
        }
        boolean isUnread = buffer.heldBytes() > 0;
        if (isUnread) {
            exchange.response().abort();
        }
    }

    /** Delivers an event to the caller; returns false if the attempt has ended as a result. */
    private boolean deliver(EventSplitter.Event event) {
        recordProgress();
        EventSequence.Action action = exchange.sequence().onEvent(event.id());
        if (action == EventSequence.Action.GAP) {
            fail(Outcome.FAILED, true, "an event is missing before " + event.id());
            return false;
        }
        if (action == EventSequence.Action.DELIVER) {
            exchange.settleOn(this);
            exchange.startResponse(head.orElseThrow());
            exchange.onEventDelivered(lastProgressAt);
            relayedBytes += event.size();
            buffer.write(event, exchange.response());
            if (!exchange.response().isWritable()) {
                setReadEnabled(false);
            }
        }
        return !closed;
    }

    private void recordProgress() {
        long now = context.ticker().read();
        if (timeToFirstEventMillis < 0) {
            timeToFirstEventMillis = TimeUnit.NANOSECONDS.toMillis(now - sentAt);
            context.assignments().reportFirstEvent(id);
        } else if (now - lastProgressAt > longestPause.toNanos()) {
            longestPause = Duration.ofNanos(now - lastProgressAt);
        }
        lastProgressAt = now;
    }

    @Override
    public void onEnd() {
        if (closed || head.isEmpty()) {
            return;
        }
        if (isStreaming()) {
            endStream();
            return;
        }
        recordProgress();
        exchange.settleOn(this);
        int status = head.get().status();
        exchange.onAnswered(this, status, buffer.bodySize());
        buffer.completeBody();
        close(status < MIN_SERVER_ERROR ? Outcome.SUCCEEDED : Outcome.FAILED);
        buffer.sendBody(status, head.get().headers(), exchange.response());
    }

    private void endStream() {
        boolean endsWithConnection = head.orElseThrow().endsWithConnection();
        if (buffer.hasIncompleteEvent()) {
            Outcome outcome = endsWithConnection ? Outcome.ABORTED : Outcome.FAILED;
            fail(outcome, true, "the stream ended within an event");
            return;
        }
        if (endsWithConnection && timeToFirstEventMillis < 0) {
            fail(Outcome.ABORTED, true, "the connection ended before the first event");
            return;
        }
        exchange.settleOn(this);
        exchange.startResponse(head.orElseThrow());
        exchange.onAnswered(this, head.get().status(), relayedBytes);
        close(Outcome.SUCCEEDED);
        exchange.response().end();
    }

    @Override
    public void onFailure(TargetFailure failure) {
        if (closed) {
            return;
        }
        fail(outcomeOf(failure), failure.sent(), failure.message());
    }

    private static Outcome outcomeOf(TargetFailure failure) {
        if (!failure.sent()) {
            return Outcome.UNREACHABLE;
        }
        return failure.disconnected() ? Outcome.ABORTED : Outcome.FAILED;
    }
}
