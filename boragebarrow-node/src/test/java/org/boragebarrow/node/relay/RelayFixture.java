package org.boragebarrow.node.relay;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.IntConsumer;

import com.google.common.base.Ticker;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import org.boragebarrow.decision.assign.AssignEffect;
import org.boragebarrow.decision.assign.Assignment;
import org.boragebarrow.decision.assign.HelperTarget;
import org.boragebarrow.decision.assign.Outcome;
import org.boragebarrow.decision.assign.PromptSize;
import org.boragebarrow.decision.assign.RefusalReason;
import org.boragebarrow.decision.assign.Work;
import org.boragebarrow.decision.evacuation.EmptiedZones;
import org.boragebarrow.decision.fleet.Fleet;
import org.boragebarrow.decision.fleet.FleetTarget;
import org.boragebarrow.decision.fleet.QuietPeriods;
import org.boragebarrow.decision.fleet.TargetIncarnation;
import org.boragebarrow.decision.home.ZoneRegions;
import org.boragebarrow.decision.memory.ResponseMemory;
import org.boragebarrow.decision.quarantine.Quarantine;
import org.boragebarrow.decision.quarantine.QuarantineEvent;
import org.boragebarrow.decision.retry.RetryQuota;
import org.boragebarrow.decision.routing.RequestKind;
import org.boragebarrow.decision.routing.Route;
import org.boragebarrow.decision.routing.RoutingTable;
import org.boragebarrow.decision.routing.RoutingTableHolder;
import org.boragebarrow.http.server.ServerResponse;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.model.IncarnationNumber;
import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.model.PromptPartId;
import org.boragebarrow.model.PromptParts;
import org.boragebarrow.model.RegionId;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.node.metrics.HostMetrics;
import org.boragebarrow.port.EngineClient;
import org.boragebarrow.port.StorePosition;
import org.boragebarrow.port.TargetFailure;

/** A relay with fake targets, assigner and caller, and a clock that the test advances. */
final class RelayFixture implements AutoCloseable {
    static final ServiceName SERVICE = ServiceName.of("service");
    static final String KEY = "key";

    /** The predicted time to the first event of each assignment. */
    static final long PREDICTED_MILLIS = 100;

    /** The memory for responses, in bytes. */
    static final int RESPONSE_MEMORY = 1 << 20;

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final ByteArrayOutputStream logOutput = new ByteArrayOutputStream();
    private final DecisionLog log = new DecisionLog(new PrintStream(logOutput, true, StandardCharsets.UTF_8));
    private long nanos;
    final Fleet fleet = new Fleet();
    final EmptiedZones emptied = new EmptiedZones();
    ZoneRegions regions = ZoneRegions.NONE;
    final QuietPeriods quiet = new QuietPeriods();
    final Quarantine quarantine = new Quarantine("host", Duration.ofHours(1), new Random(1));
    final RoutingTableHolder routing = new RoutingTableHolder();
    final FakeAssignments assignments = new FakeAssignments();
    final FakeCalls calls = new FakeCalls();
    ImmutableMap<String, OrganisationId> keys = ImmutableMap.of(KEY, OrganisationId.of("organisation"));
    ImmutableList<PromptPartId> promptParts = ImmutableList.of();
    final List<String> announced = new ArrayList<>();
    final ResponseMemory responseMemory = ResponseMemory.of(RESPONSE_MEMORY);
    final RetryQuota retryQuota;
    final Relay relay;
    final SignalHandler signals;

    RelayFixture(double retrySlack) {
        channel.freezeTime();
        quarantine.apply(new QuarantineEvent.RowsRead(ImmutableList.of(), true, StorePosition.START), nanos);
        EventLoop loop = channel.eventLoop();
        Ticker ticker = new Ticker() {
            @Override
            public long read() {
                return nanos;
            }
        };
        retryQuota = new RetryQuota(0, retrySlack, Duration.ofSeconds(10), 1);
        relay = new Relay(new RelayContext(
                HostIncarnation.of(HostId.of("host"), IncarnationNumber.of(1)),
                AvailabilityZoneId.of("zone"),
                loop,
                ticker,
                new Random(1),
                routing,
                fleet,
                emptied,
                () -> regions,
                quiet,
                retryQuota,
                quarantine,
                assignments,
                calls,
                responseMemory,
                log,
                new HostMetrics(10)));
        signals = new SignalHandler(fleet, quiet, ticker, log, new HostMetrics(10), new SignalOutputs());
    }

    /** Applies signals to the relay, after what announced them was handled, and records what is passed on. */
    private final class SignalOutputs implements SignalHandler.Outputs {
        @Override
        public void onFleetChanged() {}

        @Override
        public void takeBack(TargetIncarnation target) {
            channel.eventLoop().execute(() -> {
                relay.takeBack(target);
                relay.extendReservations(target);
            });
        }

        @Override
        public void announceLeaving(TargetIncarnation target) {
            announced.add("leaving " + target);
        }

        @Override
        public void announceQuiet(TargetIncarnation target, Duration time) {
            announced.add("quiet " + target + " " + time.toMillis());
        }
    }

    /** Puts one route with homes, none of which are all regions, into effect. */
    void setRoute(RequestKind kind, int maxTargets, RegionId... homes) {
        Route route = new Route(
                "route",
                "shop",
                "/a/",
                kind,
                Duration.ofSeconds(5),
                Duration.ofMillis(300),
                kind.streamed() ? Optional.of(Duration.ofMillis(250)) : Optional.empty(),
                maxTargets,
                false,
                ImmutableList.of(new Route.WeightedService(SERVICE, 1)),
                Optional.empty(),
                ImmutableSet.copyOf(homes));
        long version = routing.current().map(RoutingTable::version).orElse(0L) + 1;
        RoutingTable table = RoutingTable.of(
                version,
                ImmutableList.of(route),
                ImmutableList.of(),
                Optional.of(keys),
                ImmutableList.of(),
                Optional.empty());
        routing.offer(table);
        relay.onNewRouting(table);
    }

    FleetTarget addTarget(String id) {
        FleetTarget target = new FleetTarget(
                TargetId.of(id), SERVICE, Endpoint.of("10.0.0.1", 80), AvailabilityZoneId.of("zone"), 4, false, 1);
        fleet.put(target, 0);
        return target;
    }

    FakeResponse send(String path, String key, OptionalLong resumeAfter) {
        RelayRequest request = new RelayRequest(
                "POST",
                path,
                "shop",
                "request",
                Optional.of(Duration.ofSeconds(4)),
                Optional.of(key),
                Optional.of(new PromptSize(1_000, 100)),
                PromptParts.of(promptParts),
                resumeAfter,
                ImmutableListMultimap.of(),
                ImmutableList.of());
        FakeResponse response = new FakeResponse(channel.eventLoop());
        relay.accept(request, response);
        return response;
    }

    FakeResponse send() {
        return send("/a/b", KEY, OptionalLong.empty());
    }

    /** Returns the time in nanoseconds. */
    long now() {
        return nanos;
    }

    void advance(long millis) {
        nanos += TimeUnit.MILLISECONDS.toNanos(millis);
        channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
        channel.runPendingTasks();
    }

    /** Closes the log, which waits for its thread to write all lines, and returns them. */
    String log() {
        log.close();
        return logOutput.toString(StandardCharsets.UTF_8);
    }

    @Override
    public void close() {
        channel.close();
    }

    /** Lets second copies of slow requests be sent. */
    void allowCopies() {
        retryQuota.setDuplicatesAllowed(true);
        retryQuota.setHostCountKnown(true);
    }

    /** Records requests for targets; the test supplies the decisions. */
    static final class FakeAssignments implements Assignments {
        final List<Work> submitted = new ArrayList<>();
        final List<Outcome> outcomes = new ArrayList<>();
        final List<AttemptId> firstEvents = new ArrayList<>();
        final List<TargetId> refusing = new ArrayList<>();
        final Set<AttemptId> open = new LinkedHashSet<>();
        private final List<DecisionListener> listeners = new ArrayList<>();

        @Override
        public void submit(Work work, DecisionListener listener) {
            submitted.add(work);
            open.add(work.id());
            listeners.add(listener);
        }

        @Override
        public void reportRefusedConnection(FleetTarget target) {
            refusing.add(target.id());
        }

        @Override
        public void reportFirstEvent(AttemptId id) {
            firstEvents.add(id);
        }

        @Override
        public void reportEnd(AttemptId id, Outcome outcome) {
            open.remove(id);
            outcomes.add(outcome);
        }

        Work lastSubmitted() {
            return submitted.get(submitted.size() - 1);
        }

        void assign(FleetTarget target, FleetTarget... helpers) {
            assign(target, 0, helpers);
        }

        /** Assigns helpers that store different numbers of tokens. */
        void assignHelpers(FleetTarget target, HelperTarget... helpers) {
            decide(new AssignEffect.Assigned(
                    lastSubmitted().id(),
                    new Assignment(target, ImmutableList.copyOf(helpers), Duration.ofMillis(PREDICTED_MILLIS))));
        }

        /** Assigns helpers that each store the given number of tokens. */
        void assign(FleetTarget target, long storedTokens, FleetTarget... helpers) {
            ImmutableList<HelperTarget> withTokens = Arrays.stream(helpers)
                    .map(helper -> new HelperTarget(helper, storedTokens))
                    .collect(ImmutableList.toImmutableList());
            decide(new AssignEffect.Assigned(
                    lastSubmitted().id(), new Assignment(target, withTokens, Duration.ofMillis(PREDICTED_MILLIS))));
        }

        /** Assigns a target whose answer is late after the given time. */
        void assignWithLateAnswer(FleetTarget target, Duration lateAfter) {
            decide(new AssignEffect.Assigned(
                    lastSubmitted().id(),
                    Assignment.of(target, Duration.ofMillis(PREDICTED_MILLIS)).withLateAfter(Optional.of(lateAfter))));
        }

        void refuse(RefusalReason reason) {
            open.remove(lastSubmitted().id());
            decide(new AssignEffect.Refused(lastSubmitted().id(), reason, Duration.ofMillis(400)));
        }

        void expectPause(Duration pause) {
            listeners
                    .get(listeners.size() - 1)
                    .onPauseExpected(
                            new AssignEffect.PauseExpected(lastSubmitted().id(), pause));
        }

        private void decide(AssignEffect.Decided effect) {
            listeners.get(listeners.size() - 1).onDecided(effect);
        }
    }

    /** Records calls and reservations; the test supplies the responses. */
    static final class FakeCalls implements TargetCalls {
        final List<FakeCall> started = new ArrayList<>();
        final List<TargetId> reserved = new ArrayList<>();
        final List<TargetId> released = new ArrayList<>();
        final List<Duration> lifetimes = new ArrayList<>();
        final List<TargetId> checked = new ArrayList<>();
        SignalListener signals = (target, signal) -> {};
        boolean sendsAtOnce = true;
        CompletableFuture<Boolean> refusesConnection = CompletableFuture.completedFuture(false);
        Function<FleetTarget, Optional<CompletableFuture<Void>>> onReserve = target -> Optional.empty();
        CompletableFuture<Void> reservationResult = CompletableFuture.completedFuture(null);

        @Override
        public EngineClient.CallHandle start(Call call, Listener listener) {
            FakeCall fake = new FakeCall(call, listener);
            fake.sent = sendsAtOnce;
            started.add(fake);
            return fake;
        }

        @Override
        public void setSignalListener(SignalListener listener) {
            signals = listener;
        }

        @Override
        public CompletableFuture<Boolean> refusesConnection(FleetTarget target) {
            checked.add(target.id());
            return refusesConnection;
        }

        @Override
        public CompletableFuture<Void> reserve(FleetTarget target, String name, long tokens, Duration lifetime) {
            reserved.add(target.id());
            lifetimes.add(lifetime);
            return onReserve.apply(target).orElse(reservationResult);
        }

        @Override
        public CompletableFuture<Void> release(FleetTarget target, String name) {
            released.add(target.id());
            return CompletableFuture.completedFuture(null);
        }

        FakeCall last() {
            return started.get(started.size() - 1);
        }
    }

    /** One call to a target, whose response the test supplies. */
    static final class FakeCall implements EngineClient.CallHandle {
        final TargetCalls.Call call;
        private final TargetCalls.Listener listener;
        boolean sent = true;
        boolean closed;
        boolean ended;

        FakeCall(TargetCalls.Call call, TargetCalls.Listener listener) {
            this.call = call;
            this.listener = listener;
        }

        FakeCall head(int status) {
            return head(status, false);
        }

        /** Sends the head of a response with neither a length nor chunks. */
        FakeCall headWithoutLength(int status) {
            return head(status, true);
        }

        private FakeCall head(int status, boolean endsWithConnection) {
            listener.onHead(new TargetCalls.Head(
                    status,
                    false,
                    false,
                    true,
                    "",
                    false,
                    endsWithConnection,
                    ImmutableListMultimap.of("by", call.target().id().value())));
            return this;
        }

        void headThatIsNotGenuine() {
            listener.onHead(
                    new TargetCalls.Head(200, false, false, false, "", false, false, ImmutableListMultimap.of()));
        }

        void refuse() {
            ended = true;
            listener.onHead(
                    new TargetCalls.Head(503, true, false, false, "", false, false, ImmutableListMultimap.of()));
        }

        /** Turns the request away without stating that it did not run. */
        void refuseAskingForQuiet() {
            listener.onHead(new TargetCalls.Head(503, false, false, true, "", true, false, ImmutableListMultimap.of()));
        }

        void respondAsAnotherIncarnation() {
            listener.onHead(new TargetCalls.Head(421, true, true, false, "", false, false, ImmutableListMultimap.of()));
        }

        FakeCall body(String text) {
            listener.onBody(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
            return this;
        }

        void end() {
            ended = true;
            listener.onEnd();
        }

        void reset() {
            listener.onFailure(TargetFailure.disconnected("reset"));
        }

        void unreachable() {
            listener.onFailure(TargetFailure.notSent("connection refused"));
        }

        @Override
        public void close() {
            closed = true;
        }

        @Override
        public boolean isSent() {
            return sent;
        }

        @Override
        public void setReadEnabled(boolean enabled) {}
    }

    /** Records what is sent to the caller. */
    static final class FakeResponse implements ServerResponse {
        private final EventLoop loop;
        private Runnable onClose = () -> {};
        int status;
        ImmutableListMultimap<String, String> headers = ImmutableListMultimap.of();
        final StringBuilder body = new StringBuilder();
        final List<Runnable> unread = new ArrayList<>();
        boolean reading = true;
        boolean ended;
        boolean aborted;
        boolean closed;

        FakeResponse(EventLoop loop) {
            this.loop = loop;
        }

        void disconnect() {
            onClose.run();
        }

        @Override
        public EventLoop eventLoop() {
            return loop;
        }

        @Override
        public boolean isOpen() {
            return !ended && !aborted && !closed;
        }

        @Override
        public boolean isWritable() {
            return true;
        }

        @Override
        public void send(int code, ImmutableListMultimap<String, String> fields, ByteBuffer bytes) {
            start(code, fields);
            write(bytes);
            end();
        }

        @Override
        public void send(
                int code,
                ImmutableListMultimap<String, String> fields,
                ImmutableList<ByteBuffer> blocks,
                IntConsumer onWritten) {
            start(code, fields);
            write(blocks, onWritten);
            end();
        }

        @Override
        public void start(int code, ImmutableListMultimap<String, String> fields) {
            status = code;
            headers = fields;
        }

        @Override
        public void write(ByteBuffer part) {
            body.append(StandardCharsets.UTF_8.decode(part));
        }

        /** Keeps the parts as long as the test does not read. */
        @Override
        public void write(ImmutableList<ByteBuffer> parts, IntConsumer onWritten) {
            for (ByteBuffer part : parts) {
                int size = part.remaining();
                write(part);
                unread.add(() -> onWritten.accept(size));
            }
            if (reading) {
                readAll();
            }
        }

        void readAll() {
            unread.forEach(Runnable::run);
            unread.clear();
        }

        @Override
        public void end() {
            ended = true;
        }

        @Override
        public void abort() {
            aborted = true;
            readAll();
        }

        @Override
        public void onClose(Runnable action) {
            onClose = action;
        }

        @Override
        public void onWritabilityChanged(Runnable action) {}
    }
}
