package org.boragebarrow.decision.lease;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import org.boragebarrow.decision.table.TableDriver;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.model.IncarnationNumber;
import org.boragebarrow.testing.FakeTable;

import static com.google.common.truth.Truth.assertWithMessage;

/** Simulates hosts with different clock rates that compete for one lease, and records which host held which epoch. */
final class LeaseSimulation {
    static final int HOSTS = 3;
    static final Duration LENGTH = Duration.ofSeconds(10);

    private static final long SEED = 7;
    private static final int STALE_COMMITS = 2;
    private static final int MAX_ROUNDS = 1_000;
    private static final double[] CLOCK_RATES = {0.95, 1.0, 1.05};

    final FakeTable table = FakeTable.stepped(SEED);
    final List<Host> hosts = new ArrayList<>();
    private final TableDriver driver = new TableDriver(table);
    private final Map<Long, HostIncarnation> epochHolders = new HashMap<>();
    private long highestEpoch;
    private long nowNanos;
    private long incarnations;

    LeaseSimulation() {
        table.setMaxStaleCommits(STALE_COMMITS);
        for (int i = 0; i < HOSTS; i++) {
            hosts.add(new Host(i));
        }
    }

    void deliver(int index) {
        driver.runStep(index);
        check();
    }

    void advance(Duration time) {
        nowNanos += time.toNanos();
        hosts.forEach(host -> host.receive(new LeaseEvent.Ticked()));
        check();
    }

    void setWanted(int host, boolean wanted) {
        hosts.get(host).receive(new LeaseEvent.WantedChanged(wanted));
        check();
    }

    void restart(int index) {
        hosts.get(index).stopped = true;
        hosts.set(index, new Host(index));
    }

    /** Checks that at most one host acts as the holder of the lease, also while hosts are paused. */
    private void check() {
        long holders = hosts.stream().filter(host -> host.epoch().isPresent()).count();
        assertWithMessage("holders").that(holders).isAtMost(1);
    }

    /** Ends all faults, lets the hosts run on, and checks that one of them holds the lease at the end. */
    void checkEnd() {
        table.setMaxStaleCommits(0);
        table.setDown(false);
        hosts.forEach(Host::resume);
        setWanted(0, true);
        for (int round = 0; round < MAX_ROUNDS; round++) {
            driver.runAllSteps();
            advance(Duration.ofMillis(100));
        }
        driver.runAllSteps();
        assertWithMessage("held at the end")
                .that(hosts.stream().anyMatch(host -> host.epoch().isPresent()))
                .isTrue();
    }

    /** One incarnation of a host. */
    final class Host {
        private final HostIncarnation incarnation;
        private final LeaseMachine lease;
        private final double clockRate;
        private final Deque<LeaseEvent> inbox = new ArrayDeque<>();
        private boolean paused;
        private boolean stopped;

        Host(int index) {
            incarnations++;
            incarnation = HostIncarnation.of(HostId.of("host-" + index), IncarnationNumber.of(incarnations));
            lease = new LeaseMachine("planner", incarnation, LENGTH);
            clockRate = CLOCK_RATES[index];
            receive(new LeaseEvent.WantedChanged(true));
        }

        void pause() {
            paused = true;
        }

        void resume() {
            paused = false;
            while (!inbox.isEmpty()) {
                receive(inbox.remove());
            }
        }

        OptionalLong epoch() {
            return stopped ? OptionalLong.empty() : lease.epoch(clock());
        }

        void receive(LeaseEvent event) {
            if (stopped) {
                return;
            }
            if (paused) {
                inbox.add(event);
                return;
            }
            lease.apply(event, clock()).forEach(this::perform);
        }

        private long clock() {
            return (long) (nowNanos * clockRate);
        }

        private void perform(LeaseEffect effect) {
            switch (effect) {
                case LeaseEffect.Call call ->
                    driver.call(call.table(), answer -> receive(new LeaseEvent.Answered(call.callId(), answer)));
                case LeaseEffect.Held held -> {
                    HostIncarnation earlier = epochHolders.putIfAbsent(held.epoch(), incarnation);
                    assertWithMessage("epoch %s of %s", held.epoch(), incarnation)
                            .that(earlier == null || earlier.equals(incarnation))
                            .isTrue();
                    assertWithMessage("epoch").that(held.epoch()).isAtLeast(highestEpoch);
                    highestEpoch = held.epoch();
                }
                case LeaseEffect.Lost lost ->
                    assertWithMessage("lost")
                            .that(epochHolders.get(lost.epoch()))
                            .isEqualTo(incarnation);
            }
        }
    }
}
