package org.boragebarrow.node.assign;

import java.time.Duration;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.google.common.base.Ticker;
import org.boragebarrow.decision.assign.AssignEvent;
import org.boragebarrow.decision.fleet.TargetIncarnation;
import org.boragebarrow.model.HostId;
import org.boragebarrow.peer.proto.Envelope;
import org.boragebarrow.peer.wire.AssignMessages;

/**
 * Tells other hosts what targets announced in their answers to this one, and tells it again to a new assigner. Confined to the event
 * loop.
 *
 * <p>A host that was told passes it on to nobody, so the number of messages does not grow with that of hosts that learn it.
 */
final class SignalAnnouncements {
    /** The maximum number of announcements of each kind that are repeated to a new assigner, the latest ones. */
    private static final int MAX_REPEATED = 64;

    private final HostId self;
    private final Ticker ticker;
    private final Transport transport;
    private final Set<TargetIncarnation> leaving = Collections.newSetFromMap(new LatestEntries<>());
    private final Map<TargetIncarnation, Long> quietUntil = new LatestEntries<>();

    /** Sends messages to hosts, and events to this host's own assigner. */
    interface Transport {
        void send(HostId host, Envelope message);

        void deliverToOwnAssigner(AssignEvent event);
    }

    private static final class LatestEntries<V> extends LinkedHashMap<TargetIncarnation, V> {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<TargetIncarnation, V> eldest) {
            return size() > MAX_REPEATED;
        }
    }

    SignalAnnouncements(HostId self, Ticker ticker, Transport transport) {
        this.self = self;
        this.ticker = ticker;
        this.transport = transport;
    }

    /** Tells the assigner and the hosts of the zone that a target is leaving. */
    void announceLeaving(TargetIncarnation target, HostId assigner, Collection<HostId> zone) {
        leaving.add(target);
        Set<HostId> recipients = new LinkedHashSet<>(zone);
        recipients.add(assigner);
        recipients.remove(self);
        recipients.forEach(host -> transport.send(host, AssignMessages.targetLeaving(target)));
    }

    /** Tells the assigner that a target wants no requests of this host for a time. */
    void announceQuiet(TargetIncarnation target, Duration time, HostId assigner) {
        quietUntil.remove(target);
        quietUntil.put(target, ticker.read() + time.toNanos());
        sendQuiet(target, time, assigner);
    }

    private void sendQuiet(TargetIncarnation target, Duration time, HostId assigner) {
        if (assigner.equals(self)) {
            transport.deliverToOwnAssigner(new AssignEvent.QuietRequested(self, target, time));
        } else {
            transport.send(assigner, AssignMessages.targetQuiet(target, time));
        }
    }

    /** Tells a new assigner what the one before knew from this host. */
    void repeatTo(HostId assigner) {
        long now = ticker.read();
        quietUntil.values().removeIf(until -> until - now < TimeUnit.MILLISECONDS.toNanos(1));
        quietUntil.forEach((target, until) -> sendQuiet(target, Duration.ofNanos(until - now), assigner));
        if (!assigner.equals(self)) {
            leaving.forEach(target -> transport.send(assigner, AssignMessages.targetLeaving(target)));
        }
    }
}
