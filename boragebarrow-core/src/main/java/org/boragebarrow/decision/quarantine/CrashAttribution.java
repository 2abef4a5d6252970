package org.boragebarrow.decision.quarantine;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.boragebarrow.decision.fleet.TargetIncarnation;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.PromptParts;
import org.boragebarrow.model.ServiceName;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Decides which part of their prompts, if any, makes requests crash targets.
 *
 * <p>A crash ends many requests at once. Those whose answers had begun and went on are not its cause; of the others, a part
 * that is in one crash after another, without any answer that began in between, is, unless so many crashes are to be expected
 * by chance in the time for which targets held the part. A part on which answers have begun before needs more evidence than one
 * that is new, and the last part of a prompt, which belongs to its request, is never the cause.
 *
 * <p>Not thread-safe. Times are monotonic nanoseconds. The end of an attempt costs time in proportion to the attempts in
 * progress and the crashes kept, of which there are at most {@value #MAX_CRASHES}.
 */
public final class CrashAttribution {
    /** How an attempt ended. */
    public enum End {
        /** The target answered completely. */
        ANSWERED,
        /** The connection ended before the answer was complete. */
        DISCONNECTED,
        /** No connection to the target could be opened, or another incarnation responded. */
        UNREACHABLE,
        /** In a way that is no evidence about a crash. */
        OTHER
    }

    /** The maximum number of crashes kept, the latest ones. */
    static final int MAX_CRASHES = 256;

    /** The maximum number of parts that are known to be sound, those used last. */
    static final int MAX_SOUND_PARTS = 10_000;

    /** Crashes and different prompts that convict a part on which no answer has begun so far. */
    private static final int NEW_PART_CRASHES = 3;

    private static final int NEW_PART_PROMPTS = 2;

    /** Crashes that convict a new part in a single prompt, which its caller sends again and again. */
    private static final int SINGLE_PROMPT_CRASHES = 4;

    /** Crashes and different prompts that convict a part on which answers have begun before. */
    private static final int KNOWN_PART_CRASHES = 5;

    private static final int KNOWN_PART_PROMPTS = 3;

    /** Crashes and different prompts that convict a part although targets had not begun to answer. */
    private static final int READING_CRASHES = 8;

    private static final int READING_PROMPTS = 4;

    /** Crashes that convict a part whose quarantine was lifted after some time. */
    private static final int PROBATION_CRASHES = 2;

    /** Crashes after which a request whose target crashed is not sent to another one. */
    private static final int SUSPICIOUS_CRASHES = 2;

    /** Time after its first event after which an answer rules its parts out: a target that crashes does so before. */
    private static final long SETTLE_NANOS = Duration.ofMillis(100).toNanos();

    /** Time within which the connections to a target that crashes end, as reported by all hosts. */
    private static final long CRASH_SPAN_NANOS = Duration.ofSeconds(1).toNanos();

    /** Time after a crash from which a refused connection no longer confirms it. */
    private static final long CONFIRMATION_NANOS = Duration.ofSeconds(10).toNanos();

    /** Time that the report of an event may take; a later one shows that the target did not crash. */
    private static final long REPORT_DELAY_NANOS = Duration.ofMillis(300).toNanos();

    /** Crashes of several targets within this time have one cause, such as the loss of a rack, and count once. */
    private static final long SAME_MOMENT_NANOS = Duration.ofMillis(50).toNanos();

    /** Age after which a crash is no longer evidence: a part may come a few times a day only. */
    private static final long MAX_EVIDENCE_AGE_NANOS = Duration.ofHours(24).toNanos();

    /**
     * Time after a crash in which the end of the target's entry confirms it: a target is back after some seconds, its entry
     * lapses after three heartbeats, and the change takes some seconds to be known.
     */
    private static final long RESTART_NANOS = Duration.ofSeconds(15).toNanos();

    /** Time in which no target starts again, so that one which is seen alive has not crashed. */
    private static final long MIN_RESTART_NANOS = Duration.ofSeconds(1).toNanos();

    /** The maximum number of ended incarnations that are known. */
    private static final int MAX_ENDED = 1_000;

    /** Probability of a coincidence below which a part is convicted. */
    private static final double MAX_COINCIDENCE = 1e-4;

    /** Crashes for each target and second that are always to be expected: those of a third of the targets in 15 s. */
    private static final double MIN_CRASHES_PER_SECOND = 0.02;

    /** Time around a crash in which other crashes show how many are to be expected. */
    private static final long RATE_WINDOW_NANOS = Duration.ofSeconds(30).toNanos();

    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<AttemptId, AttemptRecord> attempts = new LinkedHashMap<>();
    private final Deque<Crash> crashes = new ArrayDeque<>();
    private final Map<PartKey, List<Crash>> convictions = new HashMap<>();
    private final Map<PartKey, Long> soundSince = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<PartKey, Long> eldest) {
            return size() > MAX_SOUND_PARTS;
        }
    };
    private final Exposures exposures = new Exposures();
    private final Map<TargetIncarnation, Long> ended = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<TargetIncarnation, Long> eldest) {
            return size() > MAX_ENDED;
        }
    };
    private ImmutableMap<ServiceName, Integer> targetCounts = ImmutableMap.of();
    private Set<PartKey> quarantined = new HashSet<>();
    private ImmutableSet<PartKey> onProbation = ImmutableSet.of();

    /**
     * The crashes that a part may have caused since the last answer on it began.
     *
     * @param count the crashes, those at the same moment counted once
     * @param prompts the different prompts in them; 1 if one prompt is in all of them and may be the cause by itself
     * @param coincidence the probability that all but the first of them hit attempts with the part by chance
     */
    private record Evidence(List<Crash> crashes, int count, int prompts, double coincidence) {}

    /** Sets the number of targets of each service, by which the rate of crashes is estimated. */
    public void setTargetCounts(ImmutableMap<ServiceName, Integer> counts) {
        targetCounts = checkNotNull(counts);
    }

    /** Replaces the parts that are quarantined and those whose quarantine was lifted after some time. */
    public void setQuarantine(ImmutableSet<PartKey> newQuarantined, ImmutableSet<PartKey> newOnProbation) {
        quarantined = new HashSet<>(newQuarantined);
        onProbation = checkNotNull(newOnProbation);
        convictions.keySet().retainAll(quarantined);
    }

    /** Returns the first shared part of the prompt that is quarantined. */
    public Optional<PartKey> findQuarantined(ServiceName service, PromptParts parts) {
        return parts.shared().stream()
                .map(part -> new PartKey(service, part))
                .filter(quarantined::contains)
                .findFirst();
    }

    /** Returns whether another attempt of a request whose target crashed is likely to crash one more. */
    public boolean isSuspected(ServiceName service, PromptParts parts, long now) {
        return parts.shared().stream()
                .map(part -> new PartKey(service, part))
                .filter(key -> !soundSince.containsKey(key))
                .anyMatch(key -> evidence(key, Phase.ANY, false, now).count() >= SUSPICIOUS_CRASHES);
    }

    /**
     * Records that an attempt is sent to a target.
     *
     * @param reading the shortest time in which the target can read the prompt
     */
    public void begin(
            AttemptId id,
            ServiceName service,
            PromptParts parts,
            TargetIncarnation target,
            Duration reading,
            long now) {
        attempts.put(id, new AttemptRecord(id, service, parts, target, now, now + reading.toNanos()));
    }

    /** Records the first event of an attempt's answer. */
    public void recordFirstEvent(AttemptId id, long now) {
        AttemptRecord attempt = attempts.get(id);
        if (attempt != null) {
            attempt.recordFirstEvent(now);
            crashes.forEach(crash -> crash.removeSuspect(id));
            refuteCrash(attempt.target(), now);
        }
    }

    /** Removes an attempt about whose end nothing is known. */
    public void forget(AttemptId id, long now) {
        Optional.ofNullable(attempts.remove(id)).ifPresent(attempt -> recordExposure(attempt, now));
    }

    /** Records that a target refuses connections, and returns what follows from it. */
    public ImmutableList<CrashVerdict> recordRefusedConnection(TargetIncarnation target, long now) {
        return findCrash(target, CONFIRMATION_NANOS, now)
                .map(crash -> confirm(crash, now))
                .orElse(ImmutableList.of());
    }

    /**
     * Records that the entry of a target that was not draining was removed or is that of another incarnation now, and
     * returns what follows from it.
     */
    public ImmutableList<CrashVerdict> recordEntryEnded(TargetIncarnation target, long now) {
        ended.put(target, now);
        return findCrash(target, RESTART_NANOS, now)
                .map(crash -> confirm(crash, now))
                .orElse(ImmutableList.of());
    }

    /** Records how an attempt ended and returns what follows from it. */
    public ImmutableList<CrashVerdict> end(AttemptId id, End end, long now) {
        AttemptRecord attempt = attempts.remove(id);
        if (attempt == null) {
            return ImmutableList.of();
        }
        recordIfSound(attempt, now);
        return switch (end) {
            case ANSWERED -> {
                recordSound(attempt, now);
                refuteCrash(attempt.target(), now);
                yield ImmutableList.of();
            }
            case DISCONNECTED -> onDisconnected(attempt, now);
            case UNREACHABLE -> recordRefusedConnection(attempt.target(), now);
            case OTHER -> {
                recordExposure(attempt, now);
                yield ImmutableList.of();
            }
        };
    }

    private void recordExposure(AttemptRecord attempt, long now) {
        if (attempt.soundSince(now, SETTLE_NANOS).isEmpty()) {
            sharedParts(attempt).forEach(key -> exposures.add(key, attempt, now));
        }
    }

    private ImmutableList<CrashVerdict> onDisconnected(AttemptRecord attempt, long now) {
        Crash crash = findCrash(attempt.target(), CRASH_SPAN_NANOS, now).orElseGet(() -> addCrash(attempt, now));
        crash.addAborted(attempt);
        boolean newSuspect = isSuspect(attempt, now) && addSuspect(crash, attempt);
        if (crash.isConfirmed()) {
            return newSuspect ? judge(crash, now) : ImmutableList.of();
        }
        Long endedAt = ended.get(attempt.target());
        boolean entryEnded = endedAt != null && now - endedAt <= RESTART_NANOS;
        return entryEnded || crash.hasSeveralWitnesses() ? confirm(crash, now) : ImmutableList.of();
    }

    private boolean addSuspect(Crash crash, AttemptRecord attempt) {
        sharedParts(attempt).forEach(key -> exposures.begin(key, crash.at()));
        return crash.addSuspect(attempt);
    }

    private static boolean isSuspect(AttemptRecord attempt, long now) {
        return attempt.soundSince(now, SETTLE_NANOS).isEmpty();
    }

    private Crash addCrash(AttemptRecord attempt, long now) {
        Crash crash = new Crash(attempt.target(), attempt.service(), now);
        crashes.removeIf(earlier -> earlier.isRefuted() && now - earlier.at() > RESTART_NANOS);
        crashes.addLast(crash);
        if (crashes.size() > MAX_CRASHES) {
            crashes.removeFirst();
        }
        return crash;
    }

    private Optional<Crash> findCrash(TargetIncarnation target, long maxAgeNanos, long now) {
        return crashes.stream()
                .filter(crash -> crash.target().equals(target) && now - crash.at() <= maxAgeNanos)
                .findFirst();
    }

    private ImmutableList<CrashVerdict> confirm(Crash crash, long now) {
        if (crash.isConfirmed()) {
            return ImmutableList.of();
        }
        crash.confirm();
        for (AttemptRecord attempt : attempts.values()) {
            // The ends of these attempts have not been reported yet.
            if (attempt.target().equals(crash.target()) && isSuspect(attempt, now)) {
                addSuspect(crash, attempt);
            }
        }
        return ImmutableList.<CrashVerdict>builder()
                .add(new CrashVerdict.TargetCrashed(crash.target().id(), crash.aborted()))
                .addAll(judge(crash, now))
                .build();
    }

    /** Records that a target is alive, so that the end of its connections was no crash. */
    private void refuteCrash(TargetIncarnation target, long now) {
        for (Crash crash : crashes) {
            long age = now - crash.at();
            // A target that refused connections may have started again since, before its entry shows this.
            boolean mayHaveRestarted = crash.isConfirmed() && age > MIN_RESTART_NANOS;
            boolean concerned = crash.target().equals(target) && crash.cause().isEmpty();
            if (concerned && age > REPORT_DELAY_NANOS && !mayHaveRestarted) {
                crash.refute();
            }
        }
    }

    private void recordIfSound(AttemptRecord attempt, long now) {
        OptionalLong since = attempt.soundSince(now, SETTLE_NANOS);
        if (since.isPresent()) {
            recordSound(attempt, since.getAsLong());
        }
    }

    private void recordSound(AttemptRecord attempt, long since) {
        for (PartKey key : sharedParts(attempt)) {
            exposures.removeIfBegunBefore(key, since);
            soundSince.merge(key, since, (known, begun) -> begun - known > 0 ? begun : known);
        }
    }

    private static List<PartKey> sharedParts(AttemptRecord attempt) {
        return attempt.parts().shared().stream()
                .map(part -> new PartKey(attempt.service(), part))
                .toList();
    }

    /** Convicts at most one part, as the crashes that are attributed to it no longer count against others. */
    private ImmutableList<CrashVerdict> judge(Crash crash, long now) {
        attempts.values().forEach(attempt -> recordIfSound(attempt, now));
        Set<PartKey> candidates = new LinkedHashSet<>();
        for (AttemptRecord suspect : crash.suspects()) {
            Optional<PartKey> known = findQuarantined(suspect.service(), suspect.parts());
            if (known.isPresent()) {
                crash.attributeTo(known.get());
                return ImmutableList.of();
            }
            candidates.addAll(sharedParts(suspect));
        }
        Optional<Suspicion> best = Optional.empty();
        for (PartKey key : candidates) {
            Optional<Suspicion> suspicion = findConvicting(key, now);
            if (suspicion.isPresent()
                    && best.map(other -> isLikelier(suspicion.get(), other, crash))
                            .orElse(true)) {
                best = suspicion;
            }
        }
        return best.map(suspicion -> convict(suspicion, now)).orElse(ImmutableList.of());
    }

    /** The evidence that a part crashes targets in a phase of its attempts. */
    private record Suspicion(PartKey key, Phase phase, Evidence evidence) {}

    private Optional<Suspicion> findConvicting(PartKey key, long now) {
        return Arrays.stream(Phase.values())
                .map(phase -> new Suspicion(key, phase, evidence(key, phase, true, now)))
                .filter(this::isConvicted)
                .min(Comparator.comparingDouble(
                        suspicion -> suspicion.evidence().coincidence()));
    }

    /** Returns whether the first part is likelier to be the cause; a later part of prompts wins a tie. */
    private boolean isLikelier(Suspicion suspicion, Suspicion other, Crash crash) {
        boolean known = soundSince.containsKey(suspicion.key());
        if (known != soundSince.containsKey(other.key())) {
            return !known;
        }
        int count = suspicion.evidence().count();
        int otherCount = other.evidence().count();
        return count != otherCount ? count > otherCount : crash.position(suspicion.key()) > crash.position(other.key());
    }

    private boolean isConvicted(Suspicion suspicion) {
        PartKey key = suspicion.key();
        Evidence evidence = suspicion.evidence();
        if (onProbation.contains(key)) {
            return evidence.count() >= PROBATION_CRASHES;
        }
        if (evidence.coincidence() > MAX_COINCIDENCE) {
            return false;
        }
        if (suspicion.phase() == Phase.ANY) {
            return evidence.count() >= READING_CRASHES && evidence.prompts() >= READING_PROMPTS;
        }
        if (soundSince.containsKey(key)) {
            return evidence.count() >= KNOWN_PART_CRASHES && evidence.prompts() >= KNOWN_PART_PROMPTS;
        }
        return evidence.count() >= SINGLE_PROMPT_CRASHES
                || (evidence.count() >= NEW_PART_CRASHES && evidence.prompts() >= NEW_PART_PROMPTS);
    }

    private Evidence evidence(PartKey key, Phase phase, boolean confirmedOnly, long now) {
        Optional<Long> soundAt = Optional.ofNullable(soundSince.get(key));
        List<Crash> counted = new ArrayList<>();
        Set<String> prompts = new HashSet<>();
        Set<String> promptsInAll = new HashSet<>();
        int count = 0;
        Optional<Long> lastMoment = Optional.empty();
        for (Crash crash : crashes) {
            boolean counts = (crash.isConfirmed() || !confirmedOnly)
                    && !crash.isRefuted()
                    && crash.cause().isEmpty()
                    && now - crash.at() <= MAX_EVIDENCE_AGE_NANOS
                    && soundAt.map(sound -> crash.at() - sound > 0).orElse(true)
                    && crash.mayBeCausedBy(key, phase);
            if (!counts) {
                continue;
            }
            ImmutableSet<String> crashPrompts = crash.prompts(key, phase);
            prompts.addAll(crashPrompts);
            if (counted.isEmpty()) {
                promptsInAll.addAll(crashPrompts);
            }
            promptsInAll.retainAll(crashPrompts);
            counted.add(crash);
            if (lastMoment
                    .map(moment -> crash.at() - moment >= SAME_MOMENT_NANOS)
                    .orElse(true)) {
                count++;
                lastMoment = Optional.of(crash.at());
            }
        }
        int different = promptsInAll.isEmpty() ? prompts.size() : Math.min(1, prompts.size());
        return new Evidence(counted, count, different, coincidence(key, phase, counted, count, now));
    }

    /** Returns the probability that as many crashes hit attempts with the part by chance since the first one. */
    private double coincidence(PartKey key, Phase phase, List<Crash> counted, int count, long now) {
        if (counted.isEmpty()) {
            return 1;
        }
        long first = counted.get(0).at();
        long nanos = exposures.nanos(key, phase);
        for (Crash crash : crashes) {
            if (crash.cause().isEmpty() && crash.at() - first > 0) {
                nanos += crash.exposureNanos(key, phase, first);
            }
        }
        for (AttemptRecord attempt : attempts.values()) {
            nanos += attempt.holds(key) ? attempt.nanosIn(phase, first, now) : 0;
        }
        double expected = nanos / NANOS_PER_SECOND * crashesPerSecond(key, counted);
        return Coincidence.probability(count - 1, expected);
    }

    /** Returns the rate of crashes of a target at the time of the given ones, of those that the part cannot have caused. */
    private double crashesPerSecond(PartKey key, List<Crash> counted) {
        double window = RATE_WINDOW_NANOS / NANOS_PER_SECOND * Math.max(1, targetCounts.getOrDefault(key.service(), 1));
        double highest = MIN_CRASHES_PER_SECOND;
        for (Crash crash : counted) {
            long unrelated = crashes.stream()
                    .filter(other -> other.isConfirmed()
                            && other.cause().isEmpty()
                            && other.service().equals(key.service())
                            && Math.abs(other.at() - crash.at()) <= RATE_WINDOW_NANOS
                            && !other.mayBeCausedBy(key, Phase.ANY))
                    .count();
            highest = Math.max(highest, unrelated / window);
        }
        return highest;
    }

    private ImmutableList<CrashVerdict> convict(Suspicion suspicion, long now) {
        PartKey key = suspicion.key();
        Evidence evidence = suspicion.evidence();
        ImmutableList.Builder<CrashVerdict> verdicts = ImmutableList.builder();
        verdicts.add(new CrashVerdict.Convicted(key, evidence.count(), evidence.prompts()));
        for (Map.Entry<PartKey, List<Crash>> earlier : convictions.entrySet()) {
            if (earlier.getValue().stream().allMatch(crash -> crash.mayBeCausedBy(key, Phase.ANY))) {
                verdicts.add(new CrashVerdict.Exonerated(earlier.getKey(), key));
                quarantined.remove(earlier.getKey());
            }
        }
        evidence.crashes().forEach(crash -> crash.attributeTo(key));
        quarantined.add(key);
        convictions.keySet().retainAll(quarantined);
        convictions.put(key, evidence.crashes());
        return verdicts.build();
    }
}
