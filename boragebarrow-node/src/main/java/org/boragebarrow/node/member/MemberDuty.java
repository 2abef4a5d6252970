package org.boragebarrow.node.member;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import com.google.common.base.Ticker;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedMap;
import org.boragebarrow.decision.member.Member;
import org.boragebarrow.decision.member.MemberEffect;
import org.boragebarrow.decision.member.MemberEvent;
import org.boragebarrow.decision.member.MemberIdentity;
import org.boragebarrow.decision.member.MemberView;
import org.boragebarrow.decision.member.Membership;
import org.boragebarrow.decision.member.ZonesView;
import org.boragebarrow.decision.placement.Role;
import org.boragebarrow.decision.placement.Roles;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.node.ring.DutyRing;
import org.boragebarrow.peer.link.PeerSender;
import org.boragebarrow.peer.wire.MemberMessages;

import static com.google.common.base.Preconditions.checkNotNull;

/** Runs {@link Membership} on a dedicated thread and applies its effects. */
public final class MemberDuty implements Members, AutoCloseable {
    /** Receives changes of the view, on the duty's thread. */
    public interface Listener {
        /** Receives the new view of this zone. */
        void onMembers(MemberView view);

        /** Receives the new view of the other zones. */
        void onZones(ZonesView view);
    }

    private final MemberIdentity self;
    private final Membership membership;
    private final PeerSender peers;
    private final Ticker ticker;
    private final Listener listener;
    private final DutyRing<MemberEvent> ring;

    private volatile HostIncarnation incarnation;
    private volatile ZoneState zoneState;
    private volatile ZonesView zones = new ZonesView(ImmutableMap.of(), 0);

    /** A view of the zone and a cache of the role holders that were looked up in it. */
    private record ZoneState(MemberView view, Map<Role, Optional<Member>> holders) {
        static ZoneState of(MemberView view) {
            return new ZoneState(view, new ConcurrentHashMap<>());
        }

        /** Hashes the zone's hosts once per role and view; requests and timers look up holders many times a second. */
        Optional<Member> holder(Role role) {
            return holders.computeIfAbsent(
                    role, key -> Roles.holder(key, view.eligible()).map(view.live()::get));
        }
    }

    /** Starts the duty. */
    public MemberDuty(
            MemberIdentity self,
            Membership membership,
            PeerSender peers,
            Ticker ticker,
            Listener listener,
            DutyRing.Factory rings) {
        this.self = checkNotNull(self);
        this.membership = checkNotNull(membership);
        this.peers = checkNotNull(peers);
        this.ticker = checkNotNull(ticker);
        this.listener = checkNotNull(listener);
        this.incarnation = self.incarnation();
        Member own = new Member(self.incarnation(), 0, self.zone(), self.endpoint(), false);
        MemberView initial = new MemberView(
                ImmutableSortedMap.of(own.host(), own), ImmutableSet.of(), ImmutableMap.of(), ImmutableMap.of());
        this.zoneState = ZoneState.of(initial);
        this.ring = rings.start("member", this::handle);
    }

    /** Queues an event; returns {@code false} if the ring is full. */
    public boolean offer(MemberEvent event) {
        return ring.offer(event);
    }

    private void handle(MemberEvent event) {
        for (MemberEffect effect : membership.apply(event, ticker.read())) {
            handle(effect);
        }
    }

    private void handle(MemberEffect effect) {
        switch (effect) {
            case MemberEffect.Send send -> peers.send(send.endpoint(), MemberMessages.toEnvelope(send.message()));
            case MemberEffect.MembersChanged changed -> {
                zoneState = ZoneState.of(changed.view());
                listener.onMembers(changed.view());
            }
            case MemberEffect.ZonesChanged changed -> {
                zones = changed.view();
                listener.onZones(changed.view());
            }
            case MemberEffect.IncarnationReplaced replaced -> incarnation = replaced.next();
        }
    }

    @Override
    public HostIncarnation self() {
        return incarnation;
    }

    @Override
    public AvailabilityZoneId zone() {
        return self.zone();
    }

    @Override
    public MemberView members() {
        return zoneState.view();
    }

    @Override
    public ZonesView zones() {
        return zones;
    }

    @Override
    public Optional<Member> find(HostId host) {
        Member peer = zoneState.view().live().get(checkNotNull(host));
        if (peer != null) {
            return Optional.of(peer);
        }
        return zones.zones().values().stream()
                .flatMap(status -> status.members().stream())
                .filter(member -> member.host().equals(host))
                .findFirst();
    }

    @Override
    public Optional<Member> holder(AvailabilityZoneId zone, Role role) {
        if (zone.equals(self.zone())) {
            return zoneState.holder(role);
        }
        ZonesView.ZoneStatus status = zones.zones().get(zone);
        ImmutableList<Member> members = status == null ? ImmutableList.of() : status.members();
        return Roles.holder(role, eligible(members)).flatMap(this::find);
    }

    private static Collection<HostId> eligible(Collection<Member> members) {
        return members.stream()
                .filter(member -> !member.leaving())
                .map(Member::host)
                .collect(ImmutableSet.toImmutableSet());
    }

    @Override
    public void close() {
        ring.close();
    }
}
