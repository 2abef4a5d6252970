package org.boragebarrow.decision.change;

import org.boragebarrow.model.HostId;

import static com.google.common.truth.Truth.assertWithMessage;

/** One incarnation of a host with its change follower; checks that no applied change is ever reverted. */
final class FollowerHost {
    private final ChangeSimulation simulation;
    private final HostId id;
    private final ChangeFollower follower = new ChangeFollower(ChangeSimulation.CODEC);
    private final long headAtStart;
    private boolean outage;
    private int faults;
    private boolean stopped;
    private long appliedNumber;

    FollowerHost(ChangeSimulation simulation, HostId id) {
        this.simulation = simulation;
        this.id = id;
        this.headAtStart = simulation.head();
        this.outage = simulation.down;
    }

    HostId id() {
        return id;
    }

    ChangeFollower follower() {
        return follower;
    }

    void crash() {
        stopped = true;
    }

    void recordOutage() {
        outage = true;
    }

    /** Records that a commit may fail; a host may treat several failures in a row as an outage. */
    void recordCommitFault() {
        faults++;
        outage |= faults == Readiness.MAX_FAILURES;
    }

    void receive(ChangeFollowerEvent event) {
        if (!stopped) {
            long before = follower.state().number();
            follower.apply(event, simulation.nowNanos).forEach(this::perform);
            assertWithMessage("state after %s", event)
                    .that(follower.state().number())
                    .isAtLeast(before);
        }
    }

    private void perform(ChangeFollowerEffect effect) {
        switch (effect) {
            case ChangeFollowerEffect.Call call -> simulation.call(this, call.callId(), call.table());
            case ChangeFollowerEffect.Fetch fetch -> simulation.fetch(this, fetch.peer(), fetch.after());
            case ChangeFollowerEffect.Configured configured -> {
                long number = configured.state().number();
                assertWithMessage("number after %s", appliedNumber).that(number).isGreaterThan(appliedNumber);
                appliedNumber = number;
                simulation.configured(simulation.hosts.indexOf(this), configured.state());
            }
            case ChangeFollowerEffect.BecameReady ready -> {
                if (!outage) {
                    assertWithMessage("applied when ready").that(appliedNumber).isAtLeast(headAtStart);
                }
            }
        }
    }
}
