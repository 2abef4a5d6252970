package org.boragebarrow.node.relay;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.netty.buffer.ByteBuf;
import io.netty.util.concurrent.Future;
import org.boragebarrow.decision.assign.Assignment;
import org.boragebarrow.decision.assign.HelperTarget;
import org.boragebarrow.decision.assign.Outcome;
import org.boragebarrow.decision.fleet.FleetTarget;
import org.boragebarrow.http.server.ServerResponse;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.port.EngineClient;
import org.boragebarrow.port.TargetFailure;

/** One attempt of an exchange at one target; confined to the event loop. */
final class RelayAttempt implements TargetCalls.Listener {
    /** Maximum size in bytes of a response that is buffered until it is complete, and of an event of a stream. */
    private static final int MAX_HELD_BYTES = 16 << 20;

    /** Statuses by which a host reports that a request did not run; a target that reports this also sets a header. */
    private static final ImmutableSet<Integer> VOUCHING = ImmutableSet.of(408, 421, 429, 503);

    /** The lowest status of the errors that another attempt may avoid. */
    private static final int SERVER_ERROR = 500;

    /** Interval between checks of a stalled attempt: an alternative may become available within a few passes. */
    private static final Duration STALL_RECHECK = Duration.ofMillis(300);

    private final RelayContext context;
    private final RelayExchange exchange;
    private final AttemptId id;
    private final Assignment assignment;
    private final PromptReservations reservations;
    private final EventSplitter splitter = new EventSplitter(MAX_HELD_BYTES);
    private final ByteArrayOutputStream held = new ByteArrayOutputStream();
    private Optional<EngineClient.CallHandle> handle = Optional.empty();
    private Optional<Future<?>> stallTimer = Optional.empty();
    private Optional<TargetCalls.Head> head = Optional.empty();
    private Duration longestPause = Duration.ZERO;
    private long sentAt;
    private long progressAt;
    private long firstMillis = -1;
    private long relayed;
    private boolean closed;

    RelayAttempt(RelayContext context, RelayExchange exchange, AttemptId id, Assignment assignment) {
        this.context = context;
        this.exchange = exchange;
        this.id = id;
        this.assignment = assignment;
        this.reservations = new PromptReservations(context, assignment.helpers(), reservation());
    }

    AttemptId id() {
        return id;
    }

    FleetTarget target() {
        return assignment.target();
    }

    ImmutableList<TargetId> helpers() {
        return assignment.helpers().stream()
                .map(helper -> helper.target().id())
                .collect(ImmutableList.toImmutableList());
    }

    Duration predictedFirst() {
        return assignment.predictedTimeToFirstEvent();
    }

    /** Returns the milliseconds from sending to the first event, or -1 if none has been received. */
    long firstMillis() {
        return firstMillis;
    }

    Duration longestPause() {
        return longestPause;
    }

    /** Returns the phase of the attempt, for the log. */
    String state() {
        if (handle.isEmpty()) {
            return "reserving";
        }
        return firstMillis < 0 ? "sent" : "streaming";
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
        send();
    }

    private void send() {
        sentAt = context.ticker().read();
        progressAt = sentAt;
        boolean repeatable = exchange.route().kind().repeatable();
        TargetCalls.Call call = new TargetCalls.Call(
                exchange.request(),
                assignment.target(),
                exchange.organisation(),
                exchange.remaining(),
                exchange.sequence().last(),
                usableHelpers(),
                reservation(),
                repeatable);
        handle = Optional.of(context.calls().start(call, this));
        if (repeatable) {
            armStall(allowedSilence());
        }
        ServerResponse response = exchange.response();
        response.onWritabilityChanged(() -> handle.ifPresent(openCall -> openCall.setReadEnabled(response.isWritable())));
    }

    /** A helper that stores tokens is always needed; one that only does prefill is omitted if it is not usable. */
    private ImmutableList<HelperTarget> usableHelpers() {
        return assignment.helpers().stream()
                .filter(helper -> helper.storedTokens() > 0 || context.fleet().isUsable(helper.target()))
                .collect(ImmutableList.toImmutableList());
    }

    private String reservation() {
        return id.toString().replace('#', '-').replace('/', '-');
    }

    /** Ends the call, if it has not ended, and reports the outcome to the assigner. */
    void close(Outcome outcome) {
        if (closed) {
            return;
        }
        closed = true;
        stallTimer.ifPresent(timer -> timer.cancel(false));
        handle.ifPresent(EngineClient.CallHandle::close);
        reservations.release();
        context.assignments().ended(id, outcome);
    }

    private void armStall(Duration delay) {
        stallTimer = Optional.of(context.loop().schedule(this::checkStall, delay.toNanos(), TimeUnit.NANOSECONDS));
    }

    /** Returns whether the target has been unresponsive for longer than the stall timeout. */
    boolean isStalled() {
        return stallLeft() <= RelayExchange.TIMER_SLACK_NANOS;
    }

    private long stallLeft() {
        return allowedSilence().toNanos() - (context.ticker().read() - progressAt);
    }

    private Duration allowedSilence() {
        return firstMillis < 0
                ? StallLimits.first(exchange.route(), assignment.predictedTimeToFirstEvent())
                : StallLimits.pause(exchange.route());
    }

    private void checkStall() {
        if (closed) {
            return;
        }
        if (!isStalled()) {
            armStall(Duration.ofNanos(stallLeft()));
            return;
        }
        if (exchange.response().isWritable() && exchange.couldRepeat(true)) {
            exchange.seekAlternative(this);
            return;
        }
        // While the caller does not read its response, the target is not read either and only seems to be stalled.
        waitOn();
    }

    /** Continues to wait after a stall. */
    void waitOn() {
        armStall(STALL_RECHECK);
    }

    private void fail(Outcome outcome, boolean ran, String reason) {
        exchange.onAttemptFailed(this, outcome, ran, reason);
    }

    @Override
    public void onHead(TargetCalls.Head received) {
        if (closed) {
            return;
        }
        if (received.otherLife()) {
            fail(Outcome.UNREACHABLE, false, "the address belongs to another target or incarnation");
            return;
        }
        if (received.notRun()) {
            fail(Outcome.REFUSED, false, "refused with status " + received.status() + " by " + received.culprit());
            return;
        }
        if (!received.genuine()) {
            fail(
                    Outcome.FAILED,
                    true,
                    "response with status " + received.status() + " is unsigned, re-encoded or for another request");
            return;
        }
        if (!received.isSuccess() && (exchange.hasBegun() || VOUCHING.contains(received.status()))) {
            fail(Outcome.FAILED, true, "failed with status " + received.status());
            return;
        }
        if (received.status() >= SERVER_ERROR && exchange.mayRepeat(true)) {
            exchange.conclude(this, Outcome.FAILED, true, true, "failed with status " + received.status());
            return;
        }
        head = Optional.of(received);
    }

    private boolean streams() {
        return exchange.route().kind().streamed()
                && head.map(TargetCalls.Head::isSuccess).orElse(false);
    }

    @Override
    public void onBody(ByteBuf chunk) {
        if (closed) {
            return;
        }
        if (!streams()) {
            hold(chunk);
            return;
        }
        List<EventSplitter.Event> events;
        try {
            events = splitter.feed(chunk);
        } catch (IllegalArgumentException e) {
            fail(Outcome.FAILED, true, e.getMessage());
            return;
        }
        for (EventSplitter.Event event : events) {
            if (!deliver(event)) {
                return;
            }
        }
    }

    private void hold(ByteBuf chunk) {
        if (held.size() + chunk.readableBytes() > MAX_HELD_BYTES) {
            fail(Outcome.FAILED, true, "response is longer than " + MAX_HELD_BYTES + " bytes");
            return;
        }
        byte[] bytes = new byte[chunk.readableBytes()];
        chunk.getBytes(chunk.readerIndex(), bytes);
        held.writeBytes(bytes);
    }

    /** Delivers an event to the caller; returns false if the attempt has ended as a result. */
    private boolean deliver(EventSplitter.Event event) {
        progress();
        EventSequence.Verdict verdict = exchange.sequence().onEvent(event.id());
        if (verdict == EventSequence.Verdict.GAP) {
            fail(Outcome.FAILED, true, "an event is missing before " + event.id());
            return false;
        }
        if (verdict == EventSequence.Verdict.DELIVER) {
            exchange.begin(head.orElseThrow());
            exchange.eventDelivered(progressAt);
            relayed += event.bytes().length;
            exchange.response().write(ByteBuffer.wrap(event.bytes()));
            if (!exchange.response().isWritable()) {
                handle.ifPresent(openCall -> openCall.setReadEnabled(false));
            }
        }
        return !closed;
    }

    private void progress() {
        long now = context.ticker().read();
        if (firstMillis < 0) {
            firstMillis = TimeUnit.NANOSECONDS.toMillis(now - sentAt);
            context.assignments().firstEvent(id);
        } else if (now - progressAt > longestPause.toNanos()) {
            longestPause = Duration.ofNanos(now - progressAt);
        }
        progressAt = now;
    }

    @Override
    public void onEnd() {
        if (closed || head.isEmpty()) {
            return;
        }
        if (streams()) {
            endStream();
            return;
        }
        progress();
        int status = head.get().status();
        exchange.answered(this, status, held.size());
        close(status < SERVER_ERROR ? Outcome.SUCCEEDED : Outcome.FAILED);
        exchange.response().send(status, head.get().headers(), ByteBuffer.wrap(held.toByteArray()));
    }

    private void endStream() {
        if (splitter.hasRest()) {
            fail(Outcome.FAILED, true, "the stream ended within an event");
            return;
        }
        exchange.begin(head.orElseThrow());
        exchange.answered(this, head.get().status(), relayed);
        close(Outcome.SUCCEEDED);
        exchange.response().end();
    }

    @Override
    public void onFailure(TargetFailure failure) {
        if (closed) {
            return;
        }
        fail(failure.sent() ? Outcome.FAILED : Outcome.UNREACHABLE, failure.sent(), failure.message());
    }
}
