package org.boragebarrow.peer.wire;

import java.time.Duration;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.boragebarrow.decision.observe.TargetStatus;
import org.boragebarrow.model.ModelId;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.peer.proto.CacheEvents;
import org.boragebarrow.peer.proto.Envelope;
import org.boragebarrow.peer.proto.Load;
import org.boragebarrow.peer.proto.TargetReport;
import org.boragebarrow.peer.proto.Verdicts;
import org.boragebarrow.port.EngineControl;

/** Converts the reports that observers send about targets. */
public final class ReportMessages {
    private ReportMessages() {}

    /** Returns the message with an engine's load, and its cache events if there are any. */
    public static Envelope report(
            TargetId target, EngineControl.LoadReport load, Optional<EngineControl.CacheEvents> cache) {
        TargetReport.Builder message =
                TargetReport.newBuilder().setTarget(target.value()).setLoad(toLoad(load));
        cache.ifPresent(events -> message.setCache(toCache(events)));
        return Envelope.newBuilder().setTargetReport(message).build();
    }

    /** Returns the message with the target statuses of one observer. */
    public static Envelope statuses(ImmutableMap<TargetId, TargetStatus> statuses) {
        Verdicts.Builder message = Verdicts.newBuilder();
        statuses.forEach((target, status) -> message.addVerdictsBuilder()
                .setTarget(target.value())
                .setReachable(status.reachable())
                .setAccepting(status.accepting()));
        return Envelope.newBuilder().setVerdicts(message).build();
    }

    /** Decodes the target statuses of one observer. */
    public static ImmutableMap<TargetId, TargetStatus> fromStatuses(Verdicts message) {
        ImmutableMap.Builder<TargetId, TargetStatus> statuses = ImmutableMap.builder();
        for (Verdicts.Verdict entry : message.getVerdictsList()) {
            statuses.put(TargetId.of(entry.getTarget()), new TargetStatus(entry.getReachable(), entry.getAccepting()));
        }
        return statuses.buildKeepingLast();
    }

    private static Load toLoad(EngineControl.LoadReport report) {
        Load.Builder load = Load.newBuilder()
                .setAgeMillis(report.age().toMillis())
                .setCapacityTokens(report.capacityTokens())
                .setUsedTokens(report.usedTokens())
                .setBatchSlots(report.batchSlots())
                .setRunning(report.running())
                .setQueued(report.queued())
                .setPrefillTokensPerSecond(report.prefillTokensPerSecond())
                .setDecodeTokensPerSecond(report.decodeTokensPerSecond())
                .setRole(report.role())
                .setAccepting(report.accepting());
        report.models().forEach(model -> load.addModels(model.value()));
        return load.build();
    }

    /** Decodes an engine's load. */
    public static EngineControl.LoadReport fromLoad(Load load) {
        return new EngineControl.LoadReport(
                Duration.ofMillis(load.getAgeMillis()),
                load.getCapacityTokens(),
                load.getUsedTokens(),
                load.getBatchSlots(),
                load.getRunning(),
                load.getQueued(),
                load.getPrefillTokensPerSecond(),
                load.getDecodeTokensPerSecond(),
                load.getModelsList().stream().map(ModelId::of).collect(ImmutableSet.toImmutableSet()),
                load.getRole(),
                load.getAccepting());
    }

    private static CacheEvents toCache(EngineControl.CacheEvents events) {
        CacheEvents.Builder message =
                CacheEvents.newBuilder().setFirst(events.first()).setNext(events.next());
        for (EngineControl.CacheEvent event : events.events()) {
            if (event.stored()) {
                message.addStored(event.blockHash());
            } else {
                message.addEvicted(event.blockHash());
            }
        }
        return message.build();
    }

    /**
     * Decodes an engine's cache events. Evictions precede stores, so that a block that was evicted and stored again
     * is treated as cached.
     */
    public static EngineControl.CacheEvents fromCache(CacheEvents message) {
        ImmutableList.Builder<EngineControl.CacheEvent> events = ImmutableList.builder();
        message.getEvictedList().forEach(hash -> events.add(new EngineControl.CacheEvent(hash, false)));
        message.getStoredList().forEach(hash -> events.add(new EngineControl.CacheEvent(hash, true)));
        return new EngineControl.CacheEvents(message.getFirst(), message.getNext(), events.build());
    }
}
