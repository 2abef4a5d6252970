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
    final HostIncarnation incarnation;
    final Map<AttemptId, ClaimManagerEffect> outcomes = new HashMap<>();
    private final ClaimSimulation simulation;
    private final ClaimManager manager = new ClaimManager();
    private final Map<AttemptId, ClaimManagerEvent.Requested> requested = new LinkedHashMap<>();
    private final List<AttemptId> granted = new ArrayList<>();
    private final List<AttemptId> running = new ArrayList<>();
    private final Deque<ClaimManagerEvent> inbox = new ArrayDeque<>();
    private boolean paused;
    private boolean stopped;
    private long attemptCount;

    ClaimHost(ClaimSimulation simulation, String name, long number) {
        this.simulation = simulation;
        this.incarnation = HostIncarnation.of(HostId.of(name), IncarnationNumber.of(number));
    }

    int activeAttempts() {
        return manager.activeAttempts();
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
        stopped = true;
        for (ClaimManagerEvent.Requested request : requested.values()) {
            simulation.recordOf(request.key()).crashed = true;
        }
    }

    void receive(ClaimManagerEvent event) {
        if (stopped) {
            return;
        }
        if (paused) {
            inbox.add(event);
            return;
        }
        manager.apply(event, simulation.nowNanos).forEach(this::perform);
    }

    AttemptId request(ClaimKey key, String requestHash, Duration timeout) {
        attemptCount++;
        AttemptId attempt = AttemptId.of(incarnation, attemptCount);
        long deadline = simulation.nowNanos + timeout.toNanos();
        ClaimManagerEvent.Requested request = new ClaimManagerEvent.Requested(attempt, key, requestHash, deadline);
        requested.put(attempt, request);
        receive(request);
        return attempt;
    }

    private void perform(ClaimManagerEffect effect) {
        switch (effect) {
            case ClaimManagerEffect.Read read -> simulation.read(read.key(), this, read.callId());
            case ClaimManagerEffect.Swap swap -> simulation.swap(swap.swap(), this, swap.callId());
            case ClaimManagerEffect.Granted grant -> {
                outcomes.put(grant.attempt(), grant);
                granted.add(grant.attempt());
            }
            case ClaimManagerEffect.Refused refused -> outcomes.put(refused.attempt(), refused);
            case ClaimManagerEffect.Replayed replayed -> {
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
        ClaimSimulation.CallRecord call = recordOf(attempt);
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
        receive(new ClaimManagerEvent.Abandoned(attempt));
    }

    /** Abandons the newest attempt if it has no outcome yet. */
    void abandonPending() {
        AttemptId attempt = AttemptId.of(incarnation, attemptCount);
        if (!paused && requested.containsKey(attempt) && !outcomes.containsKey(attempt)) {
            receive(new ClaimManagerEvent.Abandoned(attempt));
        }
    }

    void finish() {
        if (paused || running.isEmpty()) {
            return;
        }
        AttemptId attempt = running.remove(0);
        ClaimAnswer answer = simulation.newAnswer();
        recordOf(attempt).answers.add(answer);
        receive(new ClaimManagerEvent.Finished(attempt, answer));
    }

    void interrupt() {
        if (!paused && !running.isEmpty()) {
            receive(new ClaimManagerEvent.Interrupted(running.remove(0)));
        }
    }

    /** Abandons all granted attempts and finishes all running calls. */
    void endAll() {
        while (!granted.isEmpty()) {
            abandonGranted();
        }
        while (!running.isEmpty()) {
            finish();
        }
    }

    private ClaimSimulation.CallRecord recordOf(AttemptId attempt) {
        return simulation.recordOf(requested.get(attempt).key());
    }
}
