package org.boragebarrow.decision.quarantine;

import java.time.Duration;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.boragebarrow.decision.Machine;
import org.boragebarrow.model.PromptPartId;
import org.boragebarrow.model.PromptParts;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.port.StorePosition;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The parts of prompts that this host must not send to targets, as agreed with all other hosts.
 *
 * <p>Of two entries of a part the one with the higher revision holds, wherever it comes from, so an older state never
 * returns and the entries of hosts that could not reach each other are merged. The host that makes a change announces and
 * stores it; the others store what they do not find in the store after a while. A quarantine that crashes caused is lifted
 * after a time that doubles with each offence, counted from when a host learned of it, because no clock is shared; one that an
 * operator put stays until an operator lifts it.
 *
 * <p>Not thread-safe. Times are monotonic nanoseconds. {@link #find} costs one lookup for each part of the prompt.
 */
public final class Quarantine implements Machine<QuarantineEvent, QuarantineEffect> {
    /** The maximum number of parts kept; each took several crashes or an operator to be added. */
    public static final int MAX_ENTRIES = 1_000;

    /** The maximum factor by which repeated offences lengthen a quarantine. */
    private static final int MAX_DURATION_FACTOR = 24;

    /** Time after which an entry that has not appeared in the store is written again. */
    private static final Duration WRITE_RETRY_DELAY = Duration.ofSeconds(1);

    /** Time after which a host stores an entry of another host that may have stopped before it could. */
    private static final Duration WRITE_TAKEOVER_DELAY = Duration.ofSeconds(10);

    /** Upper bound of the random time by which hosts differ when they take over a write or lift a quarantine. */
    private static final Duration MAX_JITTER = Duration.ofSeconds(10);

    private final String self;
    private final RandomGenerator random;
    private final Map<PartKey, Held> entries = new LinkedHashMap<>();
    private Duration baseDuration;
    private boolean loaded;
    private StorePosition position = StorePosition.START;

    private static final class Held {
        private QuarantineEntry entry;
        private StorePosition row = StorePosition.START;
        private boolean stored;
        private boolean writing;
        private long writeDueAt;
        private long liftDueAt;

        Held(QuarantineEntry entry) {
            this.entry = entry;
        }

        boolean isQuarantined() {
            return !entry.lifted();
        }

        boolean expires() {
            return isQuarantined() && entry.offences() > 0;
        }
    }

    /**
     * Creates an empty quarantine.
     *
     * @param self names this host as the author of its changes
     * @param baseDuration how long the first quarantine of a part lasts
     */
    public Quarantine(String self, Duration baseDuration, RandomGenerator random) {
        this.self = checkNotNull(self);
        this.random = checkNotNull(random);
        setBaseDuration(baseDuration);
    }

    /** Sets how long the first quarantine of a part lasts; applies to parts that are quarantined from now on. */
    public void setBaseDuration(Duration duration) {
        checkArgument(!duration.isNegative() && !duration.isZero(), "duration must be positive: %s", duration);
        baseDuration = duration;
    }

    /** Returns whether the store has been read at least once. */
    public boolean isLoaded() {
        return loaded;
    }

    /** Returns the quarantine of the first shared part of a prompt that is quarantined. */
    public Optional<QuarantineEntry> find(ServiceName service, PromptParts parts) {
        if (entries.isEmpty()) {
            return Optional.empty();
        }
        for (PromptPartId part : parts.shared()) {
            Held held = entries.get(new PartKey(service, part));
            if (held != null && held.isQuarantined()) {
                return Optional.of(held.entry);
            }
        }
        return Optional.empty();
    }

    /** Returns all entries, lifted ones included. */
    public ImmutableList<QuarantineEntry> entries() {
        return entries.values().stream().map(held -> held.entry).collect(ImmutableList.toImmutableList());
    }

    /** Returns the entry of a part, which may be lifted. */
    public Optional<QuarantineEntry> entry(PartKey key) {
        return Optional.ofNullable(entries.get(key)).map(held -> held.entry);
    }

    /** Returns the parts that are quarantined. */
    public ImmutableSet<PartKey> quarantined() {
        return entries.values().stream()
                .filter(Held::isQuarantined)
                .map(held -> held.entry.key())
                .collect(ImmutableSet.toImmutableSet());
    }

    /** Returns the parts whose quarantine was lifted because it had lasted long enough. */
    public ImmutableSet<PartKey> onProbation() {
        return entries.values().stream()
                .filter(held -> held.entry.lifted() && held.entry.offences() > 0)
                .map(held -> held.entry.key())
                .collect(ImmutableSet.toImmutableSet());
    }

    @Override
    public ImmutableList<QuarantineEffect> apply(QuarantineEvent event, long now) {
        ImmutableList.Builder<QuarantineEffect> effects = ImmutableList.builder();
        switch (event) {
            case QuarantineEvent.Convicted convicted -> onConvicted(convicted, now, effects);
            case QuarantineEvent.Exonerated exonerated -> onExonerated(exonerated, now, effects);
            case QuarantineEvent.Edited edited ->
                change(
                        new QuarantineEntry(
                                edited.key(),
                                edited.lifted(),
                                nextRevision(edited.key()),
                                edited.operator(),
                                edited.reason(),
                                0,
                                edited.wallMillis()),
                        now,
                        effects);
            case QuarantineEvent.Announced announced ->
                accept(announced.entry(), QuarantineEffect.Source.PEER, now, effects);
            case QuarantineEvent.RowsRead read -> onRowsRead(read, now, effects);
            case QuarantineEvent.WriteEnded ended ->
                Optional.ofNullable(entries.get(ended.key())).ifPresent(held -> {
                    held.writing = false;
                    held.writeDueAt = now + WRITE_RETRY_DELAY.toNanos();
                });
            case QuarantineEvent.Ticked ticked -> liftExpired(ticked.wallMillis(), now, effects);
        }
        writeDue(now, effects);
        wakeUp(now, effects);
        return effects.build();
    }

    private void onConvicted(
            QuarantineEvent.Convicted convicted, long now, ImmutableList.Builder<QuarantineEffect> effects) {
        Optional<QuarantineEntry> known = entry(convicted.key());
        if (known.filter(entry -> !entry.lifted()).isPresent()) {
            return;
        }
        int offences = known.map(QuarantineEntry::offences).orElse(0) + 1;
        change(
                new QuarantineEntry(
                        convicted.key(),
                        false,
                        nextRevision(convicted.key()),
                        self,
                        convicted.reason(),
                        offences,
                        convicted.wallMillis()),
                now,
                effects);
    }

    /** Lifts a quarantine that crashes caused; what an operator decided stays. */
    private void onExonerated(
            QuarantineEvent.Exonerated exonerated, long now, ImmutableList.Builder<QuarantineEffect> effects) {
        boolean automatic = Optional.ofNullable(entries.get(exonerated.key()))
                .map(Held::expires)
                .orElse(false);
        if (automatic) {
            change(
                    new QuarantineEntry(
                            exonerated.key(),
                            true,
                            nextRevision(exonerated.key()),
                            self,
                            exonerated.reason(),
                            0,
                            exonerated.wallMillis()),
                    now,
                    effects);
        }
    }

    private long nextRevision(PartKey key) {
        return entry(key).map(QuarantineEntry::revision).orElse(0L) + 1;
    }

    private void change(QuarantineEntry entry, long now, ImmutableList.Builder<QuarantineEffect> effects) {
        if (accept(entry, QuarantineEffect.Source.OWN, now, effects)) {
            effects.add(new QuarantineEffect.Announce(entry));
        }
    }

    /** Takes over an entry that supersedes the known one; returns whether it did. */
    private boolean accept(
            QuarantineEntry entry,
            QuarantineEffect.Source source,
            long now,
            ImmutableList.Builder<QuarantineEffect> effects) {
        Held held = entries.get(entry.key());
        if (held == null) {
            if (!makeRoom()) {
                effects.add(new QuarantineEffect.Rejected(entry));
                return false;
            }
            held = new Held(entry);
            held.row = position.withoutRow();
            entries.put(entry.key(), held);
        } else if (!entry.supersedes(held.entry)) {
            return false;
        }
        held.entry = entry;
        held.stored = source == QuarantineEffect.Source.STORE;
        held.writeDueAt =
                source == QuarantineEffect.Source.OWN ? now : now + WRITE_TAKEOVER_DELAY.toNanos() + jitterNanos();
        held.liftDueAt = now + duration(entry.offences()).toNanos() + jitterNanos();
        effects.add(new QuarantineEffect.Changed(entry, source));
        return true;
    }

    private long jitterNanos() {
        return random.nextLong(MAX_JITTER.toNanos());
    }

    private Duration duration(int offences) {
        int factor = 1;
        for (int i = 1; i < offences && factor < MAX_DURATION_FACTOR; i++) {
            factor *= 2;
        }
        return baseDuration.multipliedBy(Math.min(factor, MAX_DURATION_FACTOR));
    }

    /** Removes the lifted entry that was changed first if all places are taken; returns whether there is a place. */
    private boolean makeRoom() {
        if (entries.size() < MAX_ENTRIES) {
            return true;
        }
        Optional<PartKey> oldest = entries.values().stream()
                .map(held -> held.entry)
                .filter(QuarantineEntry::lifted)
                .min(Comparator.comparingLong(QuarantineEntry::changedAtMillis))
                .map(QuarantineEntry::key);
        oldest.ifPresent(entries::remove);
        return oldest.isPresent();
    }

    private void onRowsRead(QuarantineEvent.RowsRead read, long now, ImmutableList.Builder<QuarantineEffect> effects) {
        boolean restored = read.full() && loaded && !read.position().isSameEra(position);
        if (read.full()) {
            loaded = true;
            position = read.position();
            // A row that is missing is written again, as rows are never removed.
            for (Held held : entries.values()) {
                held.stored = false;
                held.row = position.withoutRow();
            }
        }
        for (QuarantineEvent.StoredEntry row : read.rows()) {
            accept(row.entry(), QuarantineEffect.Source.STORE, now, effects);
            Held held = entries.get(row.entry().key());
            if (held != null) {
                held.row = row.position();
                held.stored = held.entry.equals(row.entry());
            }
        }
        if (restored) {
            spreadWrites(now);
        }
    }

    /** Spreads the writes of what an older copy of the store lacks, which all hosts notice at one moment. */
    private void spreadWrites(long now) {
        for (Held held : entries.values()) {
            boolean isAuthor = held.entry.author().equals(self);
            held.writeDueAt = isAuthor ? now : now + jitterNanos();
        }
    }

    private void liftExpired(long wallMillis, long now, ImmutableList.Builder<QuarantineEffect> effects) {
        for (Held held : ImmutableList.copyOf(entries.values())) {
            if (held.expires() && now - held.liftDueAt >= 0) {
                QuarantineEntry entry = held.entry;
                change(
                        new QuarantineEntry(
                                entry.key(),
                                true,
                                nextRevision(entry.key()),
                                self,
                                "lifted after " + duration(entry.offences()).toMinutes() + " min",
                                entry.offences(),
                                wallMillis),
                        now,
                        effects);
            }
        }
    }

    private void writeDue(long now, ImmutableList.Builder<QuarantineEffect> effects) {
        for (Held held : entries.values()) {
            if (!held.stored && !held.writing && now - held.writeDueAt >= 0) {
                held.writing = true;
                effects.add(new QuarantineEffect.Write(held.entry, held.row));
            }
        }
    }

    private void wakeUp(long now, ImmutableList.Builder<QuarantineEffect> effects) {
        long earliest = Long.MAX_VALUE;
        for (Held held : entries.values()) {
            if (!held.stored && !held.writing) {
                earliest = Math.min(earliest, Math.max(0, held.writeDueAt - now));
            }
            if (held.expires()) {
                earliest = Math.min(earliest, Math.max(0, held.liftDueAt - now));
            }
        }
        if (earliest != Long.MAX_VALUE) {
            effects.add(new QuarantineEffect.WakeUp(Duration.ofNanos(earliest)));
        }
    }
}
