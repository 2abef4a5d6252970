package org.boragebarrow.decision.claim;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.model.IncarnationNumber;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/** One incarnation of a simulated host with its claim manager; checks each step against the recorded dispatches. */
final class ClaimHost {
    final HostIncarnation life;
    final Map<AttemptId, ClaimKeeperEffect> outcomes = new HashMap<>();
    private final ClaimWorld world;
    private final ClaimKeeper keeper = new ClaimKeeper();
    private final Map<AttemptId, ClaimKeeperEvent.Requested> requested = new LinkedHashMap<>();
    private final List<AttemptId> granted = new ArrayList<>();
    private final List<AttemptId> running = new ArrayList<>();
    private final Deque<ClaimKeeperEvent> inbox = new ArrayDeque<>();
    private boolean paused;
    private boolean dead;
    private long counter;

    ClaimHost(ClaimWorld simulation, String name, long number) {
        this.world = simulation;
        this.life = HostIncarnation.of(HostId.of(name), IncarnationNumber.of(number));
    }

    int unsettled() {
        return keeper.unsettled();
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

    void crash() {
        dead = true;
        for (ClaimKeeperEvent.Requested request : requested.values()) {
            world.recordOf(request.key()).crashed = true;
        }
    }

    void receive(ClaimKeeperEvent event) {
        if (dead) {
            return;
        }
        if (paused) {
            inbox.add(event);
            return;
        }
        keeper.apply(event, world.nowNanos).forEach(this::perform);
    }

    AttemptId request(ClaimKey key, String requestHash, Duration limit) {
        counter++;
        AttemptId attempt = AttemptId.of(life, counter);
        long deadline = world.nowNanos + limit.toNanos();
        ClaimKeeperEvent.Requested request = new ClaimKeeperEvent.Requested(attempt, key, requestHash, deadline);
        requested.put(attempt, request);
        receive(request);
        return attempt;
    }

    private void perform(ClaimKeeperEffect effect) {
        switch (effect) {
            case ClaimKeeperEffect.Read read -> world.read(read.key(), this, read.call());
            case ClaimKeeperEffect.Swap swap -> world.swap(swap.swap(), this, swap.call());
            case ClaimKeeperEffect.Granted grant -> {
                outcomes.put(grant.attempt(), grant);
                granted.add(grant.attempt());
            }
            case ClaimKeeperEffect.Refused refused -> outcomes.put(refused.attempt(), refused);
            case ClaimKeeperEffect.Replayed replayed -> {
                outcomes.put(replayed.attempt(), replayed);
                assertThat(recordOf(replayed.attempt()).answers).containsExactly(replayed.answer());
            }
        }
    }

    /** Dispatches the oldest granted call. */
    void dispatch() {
        if (paused || granted.isEmpty()) {
            return;
        }
        AttemptId attempt = granted.remove(0);
        ClaimWorld.CallRecord call = recordOf(attempt);
        assertWithMessage("dispatched before %s", attempt).that(call.dispatched).isEmpty();
        call.dispatched.add(attempt);
        call.requestHash = requested.get(attempt).requestHash();
        running.add(attempt);
    }

    /** Answers the oldest granted call with "not run" and abandons the attempt. */
    void abandonGranted() {
        if (paused || granted.isEmpty()) {
            return;
        }
        AttemptId attempt = granted.remove(0);
        assertWithMessage("dispatched before %s answered that the call did not run", attempt)
                .that(recordOf(attempt).dispatched)
                .isEmpty();
        receive(new ClaimKeeperEvent.Abandoned(attempt));
    }

    /** Abandons the newest attempt if it has no outcome yet. */
    void abandonWaiting() {
        AttemptId attempt = AttemptId.of(life, counter);
        if (!paused && requested.containsKey(attempt) && !outcomes.containsKey(attempt)) {
            receive(new ClaimKeeperEvent.Abandoned(attempt));
        }
    }

    void finish() {
        if (paused || running.isEmpty()) {
            return;
        }
        AttemptId attempt = running.remove(0);
        ClaimAnswer answer = world.newAnswer();
        recordOf(attempt).answers.add(answer);
        receive(new ClaimKeeperEvent.Finished(attempt, answer));
    }

    void interrupt() {
        if (!paused && !running.isEmpty()) {
            receive(new ClaimKeeperEvent.Interrupted(running.remove(0)));
        }
    }

    /** Abandons all granted attempts and finishes all running calls. */
    void windUp() {
        while (!granted.isEmpty()) {
            abandonGranted();
        }
        while (!running.isEmpty()) {
            finish();
        }
    }

    private ClaimWorld.CallRecord recordOf(AttemptId attempt) {
        return world.recordOf(requested.get(attempt).key());
    }
}
