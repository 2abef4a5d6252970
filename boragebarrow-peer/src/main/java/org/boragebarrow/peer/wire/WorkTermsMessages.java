package org.boragebarrow.peer.wire;

import java.util.Optional;

import com.google.common.collect.ImmutableSet;
import org.boragebarrow.decision.assign.WorkTerms;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.model.RegionId;
import org.boragebarrow.model.UrgencyRank;
import org.boragebarrow.peer.proto.AskedTerms;

/** Encodes and decodes the terms of work. */
final class WorkTermsMessages {
    private WorkTermsMessages() {}

    static AskedTerms toMessage(WorkTerms terms) {
        AskedTerms.Builder message = AskedTerms.newBuilder()
                .setWeight(terms.weight())
                .setRank(terms.rank().value())
                .setHasHomes(terms.homes().isPresent())
                .setPurpose(AskedTerms.Purpose.valueOf(terms.purpose().name()))
                .setCallerKey(terms.callerKey())
                .setDuplicable(terms.duplicable());
        terms.organisation().ifPresent(organisation -> message.setOrganisation(organisation.value()));
        terms.homes().ifPresent(homes -> homes.forEach(home -> message.addHomes(home.value())));
        terms.closedZones().forEach(zone -> message.addClosedZones(zone.value()));
        return message.build();
    }

    /** Decodes terms; throws {@link IllegalArgumentException} if they are invalid. */
    static WorkTerms fromMessage(AskedTerms message) {
        ImmutableSet<RegionId> homes =
                message.getHomesList().stream().map(RegionId::of).collect(ImmutableSet.toImmutableSet());
        ImmutableSet<AvailabilityZoneId> closedZones = message.getClosedZonesList().stream()
                .map(AvailabilityZoneId::of)
                .collect(ImmutableSet.toImmutableSet());
        return new WorkTerms(
                Optional.of(message.getOrganisation())
                        .filter(id -> !id.isEmpty())
                        .map(OrganisationId::of),
                message.getWeight(),
                UrgencyRank.of(message.getRank()),
                message.getHasHomes() ? Optional.of(homes) : Optional.empty(),
                WorkTerms.Purpose.valueOf(message.getPurpose().name()),
                message.getCallerKey(),
                closedZones,
                message.getDuplicable());
    }
}
