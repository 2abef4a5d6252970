package org.boragebarrow.decision.quarantine;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.google.common.collect.ImmutableSet;
import org.boragebarrow.decision.fleet.TargetIncarnation;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.PromptPartId;
import org.boragebarrow.model.ServiceName;

/** One crash of a target, or the end of a single connection as long as nothing else is known. Not thread-safe. */
final class Crash {
    private final TargetIncarnation target;
    private final ServiceName service;
    private final long at;
    private final Map<AttemptId, AttemptRecord> suspects = new LinkedHashMap<>();
    private final Set<HostId> witnesses = new HashSet<>();
    private int aborted;
    private boolean confirmed;
    private boolean refuted;
    private Optional<PartKey> cause = Optional.empty();

    Crash(TargetIncarnation target, ServiceName service, long at) {
        this.target = target;
        this.service = service;
        this.at = at;
    }

    TargetIncarnation target() {
        return target;
    }

    ServiceName service() {
        return service;
    }

    long at() {
        return at;
    }

    int aborted() {
        return aborted;
    }

    /** Records an attempt whose connection ended with the target. */
    void addAborted(AttemptRecord attempt) {
        aborted++;
        witnesses.add(attempt.id().owner().host());
    }

    /** Adds an attempt whose answer had not begun; returns whether it is new. */
    boolean addSuspect(AttemptRecord attempt) {
        return suspects.putIfAbsent(attempt.id(), attempt) == null;
    }

    /** Removes an attempt whose answer had begun, as a late report says. */
    void removeSuspect(AttemptId id) {
        suspects.remove(id);
    }

    /** Returns whether several hosts lost their connections to the target. */
    boolean hasSeveralWitnesses() {
        return witnesses.size() > 1;
    }

    boolean isConfirmed() {
        return confirmed;
    }

    void confirm() {
        confirmed = true;
        refuted = false;
    }

    /** Returns whether the target was seen alive after it. */
    boolean isRefuted() {
        return refuted;
    }

    /** Records that the target was seen alive after it; {@link #confirm} takes this back. */
    void refute() {
        refuted = true;
        confirmed = false;
    }

    /** Returns the part to which the crash is attributed. */
    Optional<PartKey> cause() {
        return cause;
    }

    void attributeTo(PartKey key) {
        cause = Optional.of(key);
    }

    Collection<AttemptRecord> suspects() {
        return suspects.values();
    }

    /** Returns whether a request that may have caused the crash in the phase holds the part. */
    boolean mayBeCausedBy(PartKey key, Phase phase) {
        return suspects.values().stream().anyMatch(attempt -> mayBeCausedBy(attempt, key, phase));
    }

    private boolean mayBeCausedBy(AttemptRecord attempt, PartKey key, Phase phase) {
        return attempt.holds(key) && at - attempt.startOf(phase) >= 0;
    }

    /** Returns how long the target held attempts with the part, in the phase and after the given time. */
    long exposureNanos(PartKey key, Phase phase, long since) {
        return suspects.values().stream()
                .filter(attempt -> attempt.holds(key))
                .mapToLong(attempt -> attempt.nanosIn(phase, since, at))
                .max()
                .orElse(0);
    }

    /** Returns the prompts that may have caused it, each by the id of its own part or else of its attempt. */
    ImmutableSet<String> prompts(PartKey key, Phase phase) {
        ImmutableSet.Builder<String> prompts = ImmutableSet.builder();
        for (AttemptRecord attempt : suspects.values()) {
            if (mayBeCausedBy(attempt, key, phase)) {
                prompts.add(attempt.parts()
                        .own()
                        .map(PromptPartId::value)
                        .orElseGet(() -> attempt.id().toString()));
            }
        }
        return prompts.build();
    }

    /** Returns the last position of the part in the prompts that hold it, from 0. */
    int position(PartKey key) {
        return suspects.values().stream()
                .filter(attempt -> attempt.holds(key))
                .mapToInt(attempt -> attempt.parts().shared().indexOf(key.part()))
                .max()
                .orElse(0);
    }
}
