package org.boragebarrow.peer.wire;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.protobuf.InvalidProtocolBufferException;
import org.boragebarrow.decision.dispatch.ZoneSummary;
import org.boragebarrow.decision.member.Payload;
import org.boragebarrow.model.ModelId;
import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.peer.proto.ZoneLoad;

/** Converts the summary that an availability zone sends to the other zones. */
public final class SummaryMessages {
    private SummaryMessages() {}

    /** Encodes a summary as the payload of a membership message. */
    public static Payload toPayload(ZoneSummary summary) {
        ZoneLoad.Builder message = ZoneLoad.newBuilder()
                .setFreeTokens(summary.freeTokens())
                .setLongestPromptTokens(summary.longestPromptTokens())
                .setQueuedSeconds(summary.queuedSeconds());
        summary.demand().forEach((organisation, tokens) -> message.putDemand(organisation.value(), tokens));
        summary.models().forEach(model -> message.addModels(model.value()));
        return Payload.copyOf(message.build().toByteArray());
    }

    /**
     * Decodes a payload.
     *
     * @param responsive whether messages from the zone arrived within the timeout
     * @throws IllegalArgumentException if the payload is malformed
     */
    public static ZoneSummary fromPayload(Payload payload, boolean responsive) {
        ZoneLoad message;
        try {
            message = ZoneLoad.parseFrom(payload.toByteArray());
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("malformed zone summary", e);
        }
        ImmutableMap.Builder<OrganisationId, Long> demand = ImmutableMap.builder();
        message.getDemandMap().forEach((organisation, tokens) -> demand.put(OrganisationId.of(organisation), tokens));
        return new ZoneSummary(
                demand.buildOrThrow(),
                message.getFreeTokens(),
                message.getLongestPromptTokens(),
                message.getQueuedSeconds(),
                message.getModelsList().stream().map(ModelId::of).collect(ImmutableSet.toImmutableSet()),
                responsive);
    }
}
