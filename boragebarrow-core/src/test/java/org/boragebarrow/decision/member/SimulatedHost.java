package org.boragebarrow.decision.member;

import java.util.ArrayList;
import java.util.List;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.decision.member.MemberEvent.MessageReceived;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.model.IncarnationNumber;

/** A membership in a simulated network, with the views that it last reported. */
final class SimulatedHost implements SimulatedNetwork.Node {
    record Envelope(HostIncarnation from, MemberMessage message) {}

    final Endpoint endpoint;
    final AvailabilityZoneId zone;
    final List<HostIncarnation> incarnations = new ArrayList<>();
    final List<MemberMessage> sentMessages = new ArrayList<>();
    private final Membership membership;
    MemberView memberView;
    ZonesView zonesView;
    boolean recordsSent;
    boolean copiesMessages;

    SimulatedHost(String id, long incarnation, String zone, Endpoint endpoint, MemberSettings settings, long seed) {
        this.endpoint = endpoint;
        this.zone = AvailabilityZoneId.of(zone);
        incarnations.add(HostIncarnation.of(HostId.of(id), IncarnationNumber.of(incarnation)));
        membership = new Membership(new MemberIdentity(incarnations.get(0), this.zone, endpoint), settings, seed);
    }

    HostIncarnation incarnation() {
        return incarnations.get(incarnations.size() - 1);
    }

    HostId id() {
        return incarnation().host();
    }

    List<SimulatedNetwork.OutboundMessage> apply(MemberEvent event, long now) {
        List<SimulatedNetwork.OutboundMessage> sent = new ArrayList<>();
        ImmutableList<MemberEffect> effects = membership.apply(event, now);
        for (MemberEffect effect : effects) {
            switch (effect) {
                case MemberEffect.Send send -> {
                    if (recordsSent) {
                        sentMessages.add(send.message());
                    }
                    sent.add(new SimulatedNetwork.OutboundMessage(
                            send.endpoint(), new Envelope(incarnation(), send.message())));
                }
                case MemberEffect.MembersChanged changed -> memberView = changed.view();
                case MemberEffect.ZonesChanged changed -> zonesView = changed.view();
                case MemberEffect.IncarnationReplaced replaced -> incarnations.add(replaced.next());
            }
        }
        return sent;
    }

    @Override
    public List<SimulatedNetwork.OutboundMessage> receive(Object message, long now) {
        Envelope envelope = (Envelope) message;
        return apply(new MessageReceived(envelope.from, envelope.message), now);
    }

    @Override
    public Object decode(Object message) {
        Envelope envelope = (Envelope) message;
        return copiesMessages ? new Envelope(envelope.from, MessageCopies.copy(envelope.message)) : message;
    }

    @Override
    public List<SimulatedNetwork.OutboundMessage> tick(long now) {
        return apply(new MemberEvent.Ticked(), now);
    }
}
