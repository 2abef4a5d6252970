package org.boragebarrow.decision.member;

import java.util.Optional;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.decision.member.MemberEffect.Send;
import org.boragebarrow.model.Endpoint;

/** Collects the effects of one event, in order. */
final class Outbox {
    private final ImmutableList.Builder<MemberEffect> effects = ImmutableList.builder();

    void send(Member to, MemberMessage message) {
        effects.add(new Send(Optional.of(to.host()), to.endpoint(), message));
    }

    void send(Endpoint to, MemberMessage message) {
        effects.add(new Send(Optional.empty(), to, message));
    }

    void add(MemberEffect effect) {
        effects.add(effect);
    }

    ImmutableList<MemberEffect> effects() {
        return effects.build();
    }
}
