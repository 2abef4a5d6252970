package org.boragebarrow.node.target;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import org.boragebarrow.decision.placement.Roles;
import org.boragebarrow.model.Target;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.model.TargetKind;
import org.boragebarrow.node.member.Members;
import org.boragebarrow.port.EngineControl;
import org.boragebarrow.port.EngineControl.CacheEvents;
import org.boragebarrow.port.EngineControl.LoadReport;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Polls the engines that this host observes and reports them.
 *
 * <p>Each engine is polled by two hosts of its zone; a host that is not among an engine's observers leaves it alone.
 */
public final class TargetWatch {
    private static final int FAILURES_TO_UNREACHABLE = 3;

    /** Receives what was seen; called on I/O threads. */
    public interface Listener {
        /** Receives an engine's load and, if the engine tells them, its cache events. */
        void onReport(TargetId engine, LoadReport load, Optional<CacheEvents> cache);

        /** Receives that an engine does not answer. */
        void onUnreachable(TargetId engine);
    }

    private final Members members;
    private final TargetDirectory directory;
    private final EngineControl control;
    private final Listener listener;
    private final Map<TargetId, Integer> failures = new ConcurrentHashMap<>();
    private final Map<TargetId, Long> nextCacheEvent = new ConcurrentHashMap<>();

    /** Creates a watch that polls when told to. */
    public TargetWatch(Members members, TargetDirectory directory, EngineControl control, Listener listener) {
        this.members = checkNotNull(members);
        this.directory = checkNotNull(directory);
        this.control = checkNotNull(control);
        this.listener = checkNotNull(listener);
    }

    /** Polls each observed engine once. */
    public void poll() {
        for (Target target : directory.inZone(members.zone())) {
            if (target.kind() == TargetKind.ENGINE && isObserved(target.id())) {
                poll(target);
            }
        }
    }

    private boolean isObserved(TargetId target) {
        return Roles.observers(target, members.members().eligible())
                .contains(members.self().host());
    }

    private void poll(Target engine) {
        long after = nextCacheEvent.getOrDefault(engine.id(), 0L);
        control.load(engine)
                .thenCombine(
                        control.cacheEvents(engine, after)
                                .thenApply(Optional::of)
                                .exceptionally(failure -> Optional.empty()),
                        (load, cache) -> {
                            cache.ifPresent(events -> nextCacheEvent.put(engine.id(), events.next()));
                            failures.remove(engine.id());
                            listener.onReport(engine.id(), load, cache.filter(events -> !isEmpty(events, after)));
                            return load;
                        })
                .whenComplete((load, failure) -> {
                    if (failure != null) {
                        onFailure(engine.id());
                    }
                });
    }

    private static boolean isEmpty(CacheEvents events, long after) {
        return events.events().isEmpty() && events.next() <= after;
    }

    private void onFailure(TargetId engine) {
        if (failures.merge(engine, 1, Integer::sum) >= FAILURES_TO_UNREACHABLE) {
            listener.onUnreachable(engine);
        }
    }
}
