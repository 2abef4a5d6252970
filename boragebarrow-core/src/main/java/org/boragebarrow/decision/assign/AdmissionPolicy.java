package org.boragebarrow.decision.assign;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.google.common.collect.ImmutableMap;
import org.boragebarrow.decision.returning.ReturnBook;
import org.boragebarrow.decision.returning.SpreadDelays;
import org.boragebarrow.decision.routing.EngineProfile;
import org.boragebarrow.decision.waiting.RoomRate;
import org.boragebarrow.decision.waiting.WaitForecast;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.model.UrgencyRank;

/**
 * Decides whether work that finds no target waits or is refused, and when a refused caller returns.
 *
 * <p>Not thread-safe. Times are monotonic nanoseconds.
 */
final class AdmissionPolicy {
    /** Retry delay of a refused caller whose targets operators have closed, which does not change soon. */
    static final Duration PROHIBITED_RETRY_DELAY = Duration.ofSeconds(2);

    private final TargetPool pool;
    private final WaitingWork waiting;
    private final ServiceRooms rooms;
    private final SpreadDelays spread = new SpreadDelays(0);
    private ImmutableMap<ServiceName, EngineProfile> profiles = ImmutableMap.of();

    AdmissionPolicy(TargetPool pool, WaitingWork waiting, ServiceRooms rooms) {
        this.pool = pool;
        this.waiting = waiting;
        this.rooms = rooms;
    }

    void setProfiles(ImmutableMap<ServiceName, EngineProfile> profiles) {
        this.profiles = profiles;
    }

    /** Returns a refusal, or empty if the work should be queued for one of the candidates. */
    Optional<AssignEffect> queueOrRefuse(QueuedWork queued, List<TargetLoad> candidates, boolean isNew, long now) {
        Work work = queued.workAt(now);
        if (isTooOld(work)) {
            return Optional.of(refuseTooLate(work, now));
        }
        if (!isNew || canWait(queued, candidates, now)) {
            return Optional.empty();
        }
        boolean overShare = rooms.of(work.service()).isOverShare(work);
        return Optional.of(refuse(work, overShare ? RefusalReason.OVER_SHARE : RefusalReason.OVERLOADED, now));
    }

    /** Returns whether the work would get room in time behind the work that goes before it. */
    private boolean canWait(QueuedWork newcomer, List<TargetLoad> candidates, long now) {
        if (newcomer.isLong()) {
            return prefillWaitMillis(newcomer, candidates, now) <= newcomer.longestWaitMillis(0, now);
        }
        Work work = newcomer.work();
        WaitForecast forecast = forecast(work, capacity(work, candidates, now), now);
        WaitForecast.Patience patience = patience(newcomer, now);
        int most = waiting.count(work.service());
        return forecast.admits(new WaitForecast.Ahead(most, most, most), patience)
                || forecast.admits(ahead(newcomer, now), patience);
    }

    private WaitForecast.Ahead ahead(QueuedWork newcomer, long now) {
        int total = 0;
        int ofRank = 0;
        int late = 0;
        for (QueuedWork other : waiting.ahead(newcomer, now)) {
            boolean sameRank =
                    other.work().terms().rank().equals(newcomer.work().terms().rank());
            total++;
            ofRank += sameRank ? 1 : 0;
            late += sameRank && other.onTimeWaitMillis(now) < 0 ? 1 : 0;
        }
        return new WaitForecast.Ahead(total, ofRank, late);
    }

    private WaitForecast.Patience patience(QueuedWork queued, long now) {
        return new WaitForecast.Patience(
                queued.onTimeWaitMillis(now), queued.longestWaitMillis(answerMillis(queued.work()), now));
    }

    /** Returns the time in which the candidates can prefill the long prompts up to the given one, in milliseconds. */
    private double prefillWaitMillis(QueuedWork newcomer, List<TargetLoad> candidates, long now) {
        double millis = prefillMillis(newcomer.work());
        for (QueuedWork ahead : waiting.ahead(newcomer, now)) {
            millis += prefillMillis(ahead.work());
        }
        for (TargetLoad load : candidates) {
            millis += load.prefillBacklogMillis();
        }
        return millis / candidates.size();
    }

    /**
     * Returns refusals of the waiting work that cannot be answered within its limit any more, as it waits behind too much
     * other work.
     */
    List<AssignEffect.Refused> refuseHopeless(ServiceName service, RefusalReason reason, long now) {
        List<QueuedWork> line = waiting.line(service, false, now);
        List<TargetLoad> usable =
                line.size() < 2 ? List.of() : usable(line.get(0).work());
        if (usable.isEmpty()) {
            return List.of();
        }
        Capacity capacity = capacity(line.get(0).work(), usable, now);
        List<AssignEffect.Refused> refused = new ArrayList<>();
        int[] ofRank = new int[UrgencyRank.COUNT];
        int[] lateOfRank = new int[UrgencyRank.COUNT];
        int ahead = 0;
        for (QueuedWork queued : line) {
            int rank = queued.work().terms().rank().value();
            boolean kept = forecast(queued.work(), capacity, now)
                    .keeps(new WaitForecast.Ahead(ahead, ofRank[rank], lateOfRank[rank]), patience(queued, now));
            if (kept || ahead == 0) {
                ahead++;
                ofRank[rank]++;
                lateOfRank[rank] += queued.onTimeWaitMillis(now) < 0 ? 1 : 0;
            } else {
                refused.add(refuse(queued.workAt(now), reason, now));
            }
        }
        return refused;
    }

    /** Returns the targets that the work may use and that are healthy; all that it may use if none is. */
    private List<TargetLoad> usable(Work work) {
        List<TargetLoad> permitted = pool.permitted(work);
        List<TargetLoad> healthy =
                permitted.stream().filter(load -> !load.health().isEjected()).toList();
        return healthy.isEmpty() ? permitted : healthy;
    }

    /**
     * The places of targets, and those that come free per millisecond.
     *
     * @param places the slots of the targets; of engines whose memory is full, the slots in use
     */
    private record Capacity(int places, double freePerMilli) {}

    private Capacity capacity(Work work, List<TargetLoad> loads, long now) {
        EngineProfile profile = profiles.get(work.service());
        int places = 0;
        int used = 0;
        for (TargetLoad load : loads) {
            boolean full = profile != null && !load.hasMemoryForAnswer(profile);
            places += full ? load.ownedCount() : load.target().slots();
            used += load.ownedCount();
        }
        places = Math.max(1, places);
        RoomRate rate = rooms.of(work.service()).rate();
        boolean scarce = used >= places && waiting.count(work.service()) > 0;
        return new Capacity(places, rate.perMilli(places, scarce, expectedHold(work), now));
    }

    private WaitForecast forecast(Work work, Capacity capacity, long now) {
        return rooms.of(work.service()).forecast(work.terms().rank(), capacity.places(), capacity.freePerMilli(), now);
    }

    private Duration expectedHold(Work work) {
        EngineProfile profile = profiles.get(work.service());
        if (profile == null) {
            return work.objective();
        }
        return Duration.ofMillis(Math.round(targetMillis(work, profile)));
    }

    /** Returns the time for which the work is expected to occupy a target, in milliseconds. */
    double targetMillis(Work work) {
        EngineProfile profile = profiles.get(work.service());
        RoomRate rate = rooms.of(work.service()).rate();
        return profile == null ? rate.holdMillis(work.objective()) : targetMillis(work, profile);
    }

    private static double targetMillis(Work work, EngineProfile profile) {
        long prompt = work.size().map(PromptSize::promptTokens).orElse(0L);
        long answer = work.size().map(PromptSize::answerTokens).orElse((long) profile.meanAnswerTokens());
        return profile.prefillMillis(prompt) + profile.answerMillis(prompt, answer);
    }

    private double prefillMillis(Work work) {
        EngineProfile profile = profiles.get(work.service());
        long tokens = work.size().map(PromptSize::promptTokens).orElse(0L);
        return profile == null ? 0 : profile.prefillMillis(tokens);
    }

    /** Returns the time from the target's assignment to what the caller waits for, without that of a first event. */
    private double answerMillis(Work work) {
        return profiles.containsKey(work.service()) ? 0 : targetMillis(work);
    }

    /** Queues work for a target that wants no requests of its host for now, unless that lasts for too long. */
    Optional<AssignEffect> decideWithoutCandidates(QueuedWork queued, boolean isNew, long now) {
        Work work = queued.workAt(now);
        List<TargetLoad> waitable = new ArrayList<>();
        Optional<Duration> earliest = Optional.empty();
        double longest = queued.longestWaitMillis(0, now);
        for (TargetLoad load : pool.permitted(work)) {
            Duration quiet = pool.quietTime(work.id().owner().host(), load, now);
            boolean excluded = work.excluded().contains(load.target().id());
            if (!excluded && quiet.toMillis() < longest) {
                waitable.add(load);
            }
            if (!quiet.isZero()
                    && earliest.map(other -> quiet.compareTo(other) < 0).orElse(true)) {
                earliest = Optional.of(quiet);
            }
        }
        if (!waitable.isEmpty()) {
            return queueOrRefuse(queued, waitable, isNew, now);
        }
        return Optional.of(earliest.<AssignEffect>map(
                        retryAfter -> new AssignEffect.Refused(work.id(), RefusalReason.QUIET, retryAfter))
                .orElseGet(() -> refuse(work, RefusalReason.NO_TARGET, now)));
    }

    AssignEffect refuseTooLarge(Work work, long now) {
        return refuse(work, RefusalReason.TOO_LARGE, now);
    }

    AssignEffect refuseTooLate(Work work, long now) {
        return refuse(work, RefusalReason.TOO_LATE, now);
    }

    private AssignEffect.Refused refuse(Work work, RefusalReason reason, long now) {
        return new AssignEffect.Refused(work.id(), reason, retryAfter(work, reason, now));
    }

    /** Returns the time after which the caller returns: a place of its own if its service has room at times. */
    private Duration retryAfter(Work work, RefusalReason reason, long now) {
        List<TargetLoad> usable = usable(work);
        if (reason == RefusalReason.NO_TARGET || reason == RefusalReason.TOO_LARGE || usable.isEmpty()) {
            return spread.next(work.remaining());
        }
        ServiceRoom room = rooms.of(work.service());
        Capacity capacity = capacity(work, usable, now);
        double backlogMillis = (waiting.count(work.service()) + 1) / capacity.freePerMilli();
        for (TargetLoad load : usable) {
            backlogMillis += load.prefillBacklogMillis() / usable.size();
        }
        ReturnBook.Caller caller = new ReturnBook.Caller(
                work.terms().callerKey(), work.terms().rank(), room.isOverShare(work), work.remaining());
        double pace = forecast(work, capacity, now).returningPacePerMilli();
        return room.returns().book(caller, pace, Duration.ofMillis((long) backlogMillis), now);
    }

    /** Returns whether the caller has abandoned the work, or its limit has passed. */
    static boolean isTooOld(Work work) {
        boolean abandoned = work.age().toMillis() > CostModel.abandonmentMillis(work);
        return abandoned || work.remaining().isNegative() || work.remaining().isZero();
    }
}
