package org.boragebarrow.node.quarantine;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import com.google.common.base.Ticker;
import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import org.boragebarrow.decision.quarantine.CrashVerdict;
import org.boragebarrow.decision.quarantine.PartKey;
import org.boragebarrow.decision.quarantine.Quarantine;
import org.boragebarrow.decision.quarantine.QuarantineEffect;
import org.boragebarrow.decision.quarantine.QuarantineEntry;
import org.boragebarrow.decision.quarantine.QuarantineEvent;
import org.boragebarrow.node.assign.RegionAssignments;
import org.boragebarrow.node.metrics.HostMetrics;
import org.boragebarrow.node.relay.DecisionLog;
import org.boragebarrow.node.relay.RelayEvent;
import org.boragebarrow.node.relay.StoreListener;
import org.boragebarrow.peer.proto.Envelope;
import org.boragebarrow.peer.wire.QuarantineMessages;
import org.boragebarrow.port.WatchedTable;
import org.boragebarrow.port.WatchedTable.Row;
import org.boragebarrow.port.WatchedTable.VersionedRows;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Applies conclusions about crashes, operators' edits, other hosts' announcements and the store's rows to the quarantine of a
 * host, and carries out its effects.
 *
 * <p>Confined to the event loop, except for {@link #edit}, {@link #list} and {@link #isLoaded}.
 */
public final class QuarantineDuty extends StoreListener implements RegionAssignments.QuarantineListener {
    /** The prefix of the keys of the rows in which the store keeps the entries. */
    public static final String ROW_PREFIX = "quarantine/";

    /** The maximum length in bytes of a row's key; the store accepts 200. */
    private static final int MAX_KEY_BYTES = 200;

    private final Quarantine quarantine;
    private final WatchedTable table;
    private final EventLoop loop;
    private final Ticker ticker;
    private final LongSupplier wallMillis;
    private final Outputs outputs;
    private Optional<Future<?>> timer = Optional.empty();
    private volatile boolean loaded;

    /**
     * Receives what leaves the duty.
     *
     * @param announcements receives messages for all other hosts
     * @param onChange runs after the parts that are quarantined changed, and after the store was read first
     */
    public record Outputs(DecisionLog log, HostMetrics metrics, Consumer<Envelope> announcements, Runnable onChange) {}

    /**
     * Creates a duty.
     *
     * @param wallMillis supplies the time of day, which entries carry for operators to read
     */
    public QuarantineDuty(
            Quarantine quarantine,
            WatchedTable table,
            EventLoop loop,
            Ticker ticker,
            LongSupplier wallMillis,
            Outputs outputs) {
        super(outputs.log(), table.name());
        this.quarantine = checkNotNull(quarantine);
        this.table = checkNotNull(table);
        this.loop = checkNotNull(loop);
        this.ticker = checkNotNull(ticker);
        this.wallMillis = checkNotNull(wallMillis);
        this.outputs = outputs;
    }

    @Override
    public void onVerdict(CrashVerdict verdict) {
        switch (verdict) {
            case CrashVerdict.TargetCrashed crashed -> {
                outputs.metrics().targetCrashed();
                log().write(RelayEvent.TARGET_CRASHED, "target", crashed.target(), "aborted", crashed.aborted());
            }
            case CrashVerdict.Convicted convicted ->
                apply(new QuarantineEvent.Convicted(
                        convicted.key(),
                        convicted.crashes() + " crashes by " + convicted.prompts() + " prompts",
                        wallMillis.getAsLong()));
            case CrashVerdict.Exonerated exonerated ->
                apply(new QuarantineEvent.Exonerated(
                        exonerated.key(),
                        "its crashes were caused by " + exonerated.cause().part(),
                        wallMillis.getAsLong()));
        }
    }

    @Override
    public void onAnnounced(QuarantineEntry entry) {
        apply(new QuarantineEvent.Announced(entry));
    }

    /** Quarantines a part or lifts its quarantine for an operator, and returns its entry. Thread-safe. */
    public CompletableFuture<QuarantineEntry> edit(PartKey key, boolean lifted, String operator, String reason) {
        return CompletableFuture.supplyAsync(
                () -> {
                    apply(new QuarantineEvent.Edited(key, lifted, operator, reason, wallMillis.getAsLong()));
                    return quarantine
                            .entry(key)
                            .orElseThrow(() -> new IllegalStateException("the quarantine is full: " + key));
                },
                loop);
    }

    /** Returns all entries, lifted ones included. Thread-safe. */
    public CompletableFuture<ImmutableList<QuarantineEntry>> list() {
        return CompletableFuture.supplyAsync(quarantine::entries, loop);
    }

    @Override
    public void onFullRead(VersionedRows rows) {
        apply(new QuarantineEvent.RowsRead(decode(rows), true, rows.position()));
        if (!loaded) {
            loaded = true;
            outputs.onChange().run();
        }
    }

    /** Returns whether the store has been read at least once. Thread-safe. */
    public boolean isLoaded() {
        return loaded;
    }

    @Override
    public void onChanges(VersionedRows changes) {
        if (!changes.rows().isEmpty()) {
            apply(new QuarantineEvent.RowsRead(decode(changes), false, changes.position()));
        }
    }

    private ImmutableList<QuarantineEvent.StoredEntry> decode(VersionedRows rows) {
        ImmutableList.Builder<QuarantineEvent.StoredEntry> stored = ImmutableList.builder();
        for (Row row : rows.rows()) {
            if (row.removed()) {
                continue;
            }
            try {
                stored.add(new QuarantineEvent.StoredEntry(QuarantineMessages.fromBytes(row.value()), row.position()));
            } catch (IllegalArgumentException e) {
                logUnusable(row, e);
            }
        }
        return stored.build();
    }

    private void apply(QuarantineEvent event) {
        boolean changed = false;
        for (QuarantineEffect effect : quarantine.apply(event, ticker.read())) {
            switch (effect) {
                case QuarantineEffect.Changed change -> {
                    changed = true;
                    logChange(change);
                }
                case QuarantineEffect.Announce announce ->
                    outputs.announcements().accept(QuarantineMessages.toEnvelope(announce.entry()));
                case QuarantineEffect.Write write -> write(write);
                case QuarantineEffect.WakeUp wakeUp -> wakeUpAfter(wakeUp.delay());
                case QuarantineEffect.Rejected rejected ->
                    log().write(
                                    RelayEvent.UNUSABLE,
                                    "part",
                                    rejected.entry().key().part(),
                                    "service",
                                    rejected.entry().key().service(),
                                    "reason",
                                    "the quarantine is full");
            }
        }
        if (changed) {
            outputs.onChange().run();
        }
    }

    private void logChange(QuarantineEffect.Changed change) {
        QuarantineEntry entry = change.entry();
        log().write(
                        RelayEvent.QUARANTINE,
                        "part",
                        entry.key().part(),
                        "service",
                        entry.key().service(),
                        "state",
                        entry.lifted() ? "lifted" : "quarantined",
                        "revision",
                        entry.revision(),
                        "author",
                        entry.author(),
                        "offences",
                        entry.offences(),
                        "source",
                        change.source(),
                        "reason",
                        entry.reason());
    }

    private void write(QuarantineEffect.Write write) {
        PartKey key = write.entry().key();
        table.put(rowKey(key), QuarantineMessages.toBytes(write.entry()), Optional.of(write.expected()))
                .whenComplete((written, failure) -> loop.execute(() -> {
                    if (failure != null) {
                        log().write(
                                        RelayEvent.UNUSABLE,
                                        "table",
                                        table.name(),
                                        "key",
                                        rowKey(key),
                                        "reason",
                                        failure.getMessage());
                    }
                    apply(new QuarantineEvent.WriteEnded(key));
                }));
    }

    private static String rowKey(PartKey key) {
        String readable = ROW_PREFIX + key;
        return readable.length() <= MAX_KEY_BYTES
                ? readable
                : ROW_PREFIX + Hashing.sha256().hashString(key.toString(), StandardCharsets.UTF_8);
    }

    private void wakeUpAfter(Duration delay) {
        timer.ifPresent(pending -> pending.cancel(false));
        timer = Optional.of(loop.schedule(
                () -> apply(new QuarantineEvent.Ticked(wallMillis.getAsLong())),
                delay.toMillis() + 1,
                TimeUnit.MILLISECONDS));
    }
}
