package org.boragebarrow.node.assign;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.google.common.base.Ticker;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.boragebarrow.decision.assign.AssignEffect;
import org.boragebarrow.decision.assign.Work;
import org.boragebarrow.decision.assign.WorkTerms;
import org.boragebarrow.decision.fleet.Fleet;
import org.boragebarrow.decision.fleet.FleetTarget;
import org.boragebarrow.decision.fleet.TargetIncarnation;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.model.IncarnationNumber;
import org.boragebarrow.model.PromptParts;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.node.relay.DecisionLog;
import org.boragebarrow.peer.link.PeerIdentity;
import org.boragebarrow.port.StorePosition;
import org.boragebarrow.port.WatchedTable;

import static com.google.common.truth.Truth.assertThat;

/** Tests two hosts of a region, the larger of which assigns, over sockets. */
class RegionAssignmentsTest {
    private static final ServiceName SERVICE = ServiceName.of("service");
    private static final AvailabilityZoneId ZONE = AvailabilityZoneId.of("zone");
    private static final IncarnationNumber FIRST = IncarnationNumber.of(1);

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private final DecisionLog log = new DecisionLog(new PrintStream(OutputStream.nullOutputStream()));
    private final HostRecord large = host("large", 100);
    private final HostRecord small = host("small", 10);
    private final Fleet fleetOfLarge = new Fleet();
    private final Fleet fleetOfSmall = new Fleet();
    private final RegionAssignments assigner = start(large, fleetOfLarge);
    private final RegionAssignments requester = start(small, fleetOfSmall);
    private long lastAttempt;

    private static HostRecord host(String id, int centicores) {
        try (ServerSocket free = new ServerSocket(0)) {
            return new HostRecord(
                    HostIncarnation.of(HostId.of(id), FIRST),
                    ZONE,
                    Endpoint.of("127.0.0.1", free.getLocalPort()),
                    centicores);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private RegionAssignments start(HostRecord host, Fleet fleet) {
        return new RegionAssignments(
                new RegionAssignments.Identity(
                        new PeerIdentity(host.incarnation(), ZONE), host.endpoint(), host.centicores(), 64),
                loop,
                Ticker.systemTicker(),
                fleet,
                new UnusedTable(),
                log);
    }

    @AfterTry
    void close() {
        assigner.close();
        requester.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private void connect() throws Exception {
        List<WatchedTable.Row> rows = new ArrayList<>();
        rows.add(new WatchedTable.Row("key", new byte[32], 1, false));
        for (HostRecord host : List.of(large, small)) {
            rows.add(new WatchedTable.Row("host/" + host.incarnation().host(), host.toBytes(), 2, false));
        }
        WatchedTable.VersionedRows table = new WatchedTable.VersionedRows(ImmutableList.copyOf(rows), 2);
        runOnLoop(() -> {
            assigner.directory().onFullRead(table);
            requester.directory().onFullRead(table);
        });
    }

    private void runOnLoop(Runnable action) throws Exception {
        CompletableFuture.runAsync(action, loop).get(5, TimeUnit.SECONDS);
    }

    private static FleetTarget target(String id, int slots) {
        return new FleetTarget(TargetId.of(id), SERVICE, Endpoint.of("127.0.0.1", slots), ZONE, slots, false, 1);
    }

    private AssignEffect.Decided submit() throws Exception {
        return startSubmission().get(5, TimeUnit.SECONDS);
    }

    private CompletableFuture<AssignEffect.Decided> startSubmission() throws Exception {
        CompletableFuture<AssignEffect.Decided> decision = new CompletableFuture<>();
        Work work = new Work(
                AttemptId.of(small.incarnation(), ++lastAttempt),
                SERVICE,
                ZONE,
                Optional.empty(),
                Duration.ofMillis(300),
                Optional.empty(),
                Duration.ZERO,
                Duration.ofSeconds(5),
                ImmutableSet.of(),
                PromptParts.none(),
                0,
                WorkTerms.DEFAULT);
        runOnLoop(() -> requester.submit(work, decision::complete));
        return decision;
    }

    /** Guards against refusals by a host that has not read the entry of a target that just came back. */
    @Example
    void aHostThatDoesNotKnowTheAssignedTargetGetsAnotherOne() throws Exception {
        FleetTarget known = target("known", 2);
        FleetTarget back = target("back", 50);
        FleetTarget backToo = target("back-too", 40);
        fleetOfSmall.put(known, 0);
        assigner.setFleet(ImmutableList.of(known, back, backToo));
        connect();
        long end = System.nanoTime() + Duration.ofSeconds(10).toNanos();
        boolean remote = false;
        while (!remote && System.nanoTime() - end < 0) {
            // Until the hosts are connected, the requesting host's own assigner decides, which has no targets.
            remote = submit() instanceof AssignEffect.Assigned;
        }

        assertThat(remote).isTrue();
        AssignEffect.Assigned assigned = (AssignEffect.Assigned) submit();
        assertThat(assigned.assignment().target()).isEqualTo(known);
    }

    /** Guards against requests that wait for an assigner's host to be taken for lost after it was stopped. */
    @Example
    void workThatIsQueuedAtAStoppingAssignerIsAssignedByTheNextOne() throws Exception {
        FleetTarget full = target("full", 1);
        FleetTarget free = target("free", 1_000);
        fleetOfSmall.put(full, 0);
        fleetOfSmall.put(free, 0);
        assigner.setFleet(ImmutableList.of(full));
        requester.setFleet(ImmutableList.of(free));
        connect();
        long end = System.nanoTime() + Duration.ofSeconds(10).toNanos();
        // Until the hosts are connected, the requesting host's own assigner decides.
        while (!targetOf(submit()).equals(full)) {
            assertThat(System.nanoTime()).isLessThan(end);
            TimeUnit.MILLISECONDS.sleep(20);
        }
        CompletableFuture<AssignEffect.Decided> queued = startSubmission();
        runOnLoop(assigner::stopAssigning);

        assertThat(targetOf(queued.get(5, TimeUnit.SECONDS))).isEqualTo(free);
        assertThat(targetOf(submit())).isEqualTo(free);
    }

    /** Guards against placements on a target that another host knows to be leaving. */
    @Example
    void theAssignerAndTheZoneLearnThatATargetIsLeaving() throws Exception {
        FleetTarget full = target("full", 1);
        fleetOfSmall.put(full, 0);
        assigner.setFleet(ImmutableList.of(full));
        CompletableFuture<TargetIncarnation> told = new CompletableFuture<>();
        runOnLoop(() -> assigner.setLeavingListener(told::complete));
        connect();
        long end = System.nanoTime() + Duration.ofSeconds(10).toNanos();
        while (!(submit() instanceof AssignEffect.Assigned)) {
            assertThat(System.nanoTime()).isLessThan(end);
            TimeUnit.MILLISECONDS.sleep(20);
        }
        runOnLoop(() -> requester.announceLeaving(full.incarnation()));

        assertThat(told.get(5, TimeUnit.SECONDS)).isEqualTo(full.incarnation());
    }

    private static FleetTarget targetOf(AssignEffect.Decided decided) {
        return ((AssignEffect.Assigned) decided).assignment().target();
    }

    /** A table whose rows the test delivers itself. */
    private static final class UnusedTable implements WatchedTable {
        @Override
        public String name() {
            return "hosts";
        }

        @Override
        public CompletableFuture<VersionedRows> read() {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<VersionedRows> changes(StorePosition after, Duration wait) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<Boolean> put(String key, byte[] value, Optional<StorePosition> expected) {
            return new CompletableFuture<>();
        }
    }
}
