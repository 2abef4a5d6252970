package org.boragebarrow.decision.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.boragebarrow.model.PromptPartId;
import org.boragebarrow.model.PromptParts;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.port.StorePosition;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class QuarantineTest {
    private static final ServiceName SERVICE = ServiceName.of("service");
    private static final PartKey KEY = new PartKey(SERVICE, PromptPartId.of("dead"));
    private static final Duration HOUR = Duration.ofHours(1);

    private final Quarantine quarantine = new Quarantine("host", HOUR, new Random(1));
    private long now;

    private static PromptParts parts(String... ids) {
        return PromptParts.of(
                ImmutableList.copyOf(ids).stream().map(PromptPartId::of).collect(ImmutableList.toImmutableList()));
    }

    private static QuarantineEntry entry(long revision, boolean lifted) {
        return new QuarantineEntry(KEY, lifted, revision, "other", "reason", 1, 0);
    }

    private ImmutableList<QuarantineEffect> apply(QuarantineEvent event) {
        return quarantine.apply(event, now);
    }

    private ImmutableList<QuarantineEffect> convict() {
        return apply(new QuarantineEvent.Convicted(KEY, "3 crashes", 17));
    }

    private void advance(Duration time) {
        now += time.toNanos();
    }

    private boolean isRefused() {
        return quarantine.find(SERVICE, parts("c", "dead", "own")).isPresent();
    }

    private static <T> ImmutableList<T> only(Class<T> type, Iterable<QuarantineEffect> effects) {
        ImmutableList.Builder<T> found = ImmutableList.builder();
        for (QuarantineEffect effect : effects) {
            if (type.isInstance(effect)) {
                found.add(type.cast(effect));
            }
        }
        return found.build();
    }

    @Example
    void aConvictedPartIsRefusedAnnouncedAndStored() {
        ImmutableList<QuarantineEffect> effects = convict();

        assertThat(isRefused()).isTrue();
        assertThat(only(QuarantineEffect.Announce.class, effects)).hasSize(1);
        assertThat(only(QuarantineEffect.Write.class, effects).get(0).expected().version())
                .isEqualTo(0);
    }

    @Example
    void thePartOfARequestItselfIsNotRefused() {
        convict();

        assertThat(quarantine.find(SERVICE, parts("c", "dead"))).isEmpty();
        assertThat(quarantine.find(ServiceName.of("other"), parts("dead", "own")))
                .isEmpty();
    }

    @Example
    void anEntryIsWrittenAgainUntilItIsReadBack() {
        QuarantineEntry written =
                only(QuarantineEffect.Write.class, convict()).get(0).entry();
        apply(new QuarantineEvent.WriteEnded(KEY));
        advance(Duration.ofSeconds(1));
        assertThat(only(QuarantineEffect.Write.class, apply(new QuarantineEvent.Ticked(0))))
                .hasSize(1);
        apply(new QuarantineEvent.WriteEnded(KEY));
        apply(new QuarantineEvent.RowsRead(
                ImmutableList.of(new QuarantineEvent.StoredEntry(written, new StorePosition(0, 5))),
                false,
                StorePosition.START));
        advance(Duration.ofSeconds(60));

        assertThat(only(QuarantineEffect.Write.class, apply(new QuarantineEvent.Ticked(0))))
                .isEmpty();
    }

    @Example
    void anotherHostStoresAnAnnouncedEntryOnlyAfterAWhile() {
        assertThat(only(QuarantineEffect.Write.class, apply(new QuarantineEvent.Announced(entry(1, false)))))
                .isEmpty();
        assertThat(isRefused()).isTrue();
        advance(Duration.ofSeconds(20));

        assertThat(only(QuarantineEffect.Write.class, apply(new QuarantineEvent.Ticked(0))))
                .hasSize(1);
    }

    @Example
    void anOlderStateNeverReturns() {
        apply(new QuarantineEvent.Announced(entry(3, false)));
        apply(new QuarantineEvent.Announced(entry(2, true)));
        apply(new QuarantineEvent.RowsRead(
                ImmutableList.of(new QuarantineEvent.StoredEntry(entry(2, true), new StorePosition(0, 9))),
                true,
                StorePosition.START));

        assertThat(isRefused()).isTrue();
    }

    @Example
    void anEntryMissingFromTheStoreStaysAndIsStoredAgain() {
        apply(new QuarantineEvent.RowsRead(
                ImmutableList.of(new QuarantineEvent.StoredEntry(entry(1, false), new StorePosition(0, 9))),
                true,
                StorePosition.START));
        advance(Duration.ofSeconds(30));
        ImmutableList<QuarantineEffect> effects =
                apply(new QuarantineEvent.RowsRead(ImmutableList.of(), true, StorePosition.START));

        assertThat(isRefused()).isTrue();
        assertThat(only(QuarantineEffect.Write.class, effects).get(0).expected().version())
                .isEqualTo(0);
    }

    /** Guards against all hosts that write the same entries at the moment at which the store has come back from a copy. */
    @Example
    void anEntryThatAnOlderCopyLacksIsWrittenAtOnceByItsAuthorAndLaterByOthers() {
        apply(new QuarantineEvent.RowsRead(ImmutableList.of(), true, StorePosition.START));
        apply(new QuarantineEvent.RowsRead(
                ImmutableList.of(new QuarantineEvent.StoredEntry(entry(1, false), new StorePosition(0, 9))),
                false,
                new StorePosition(0, 9)));
        advance(Duration.ofSeconds(30));
        StorePosition copy = new StorePosition(1, 5);
        assertThat(only(
                        QuarantineEffect.Write.class,
                        apply(new QuarantineEvent.RowsRead(ImmutableList.of(), true, copy))))
                .isEmpty();
        advance(Duration.ofSeconds(10));
        ImmutableList<QuarantineEffect.Write> writes =
                only(QuarantineEffect.Write.class, apply(new QuarantineEvent.Ticked(0)));

        assertThat(writes).hasSize(1);
        assertThat(writes.get(0).expected()).isEqualTo(copy.withoutRow());
        assertThat(isRefused()).isTrue();
    }

    @Example
    void aQuarantineIsLiftedAfterItsTimeAndLastsLongerTheNextTime() {
        convict();
        advance(HOUR.plusSeconds(11));
        apply(new QuarantineEvent.Ticked(0));
        assertThat(isRefused()).isFalse();
        assertThat(quarantine.onProbation()).containsExactly(KEY);
        convict();
        advance(HOUR.plusSeconds(11));
        apply(new QuarantineEvent.Ticked(0));
        assertThat(isRefused()).isTrue();
        advance(HOUR);
        apply(new QuarantineEvent.Ticked(0));

        assertThat(isRefused()).isFalse();
    }

    @Example
    void anOperatorsQuarantineStaysUntilItIsLifted() {
        apply(new QuarantineEvent.Edited(KEY, false, "ana", "vendor's advice", 17));
        advance(HOUR.multipliedBy(1_000));
        apply(new QuarantineEvent.Ticked(0));
        assertThat(isRefused()).isTrue();
        apply(new QuarantineEvent.Edited(KEY, true, "ana", "engines are patched", 18));

        assertThat(isRefused()).isFalse();
        assertThat(quarantine.onProbation()).isEmpty();
        assertThat(quarantine.entry(KEY).map(QuarantineEntry::author)).hasValue("ana");
    }

    @Example
    void anExonerationDoesNotOverruleAnOperator() {
        apply(new QuarantineEvent.Edited(KEY, false, "ana", "", 17));
        apply(new QuarantineEvent.Exonerated(KEY, "another cause", 18));
        assertThat(isRefused()).isTrue();
    }

    @Example
    void theNumberOfEntriesIsBoundedAndLiftedOnesMakeRoom() {
        for (int i = 0; i <= Quarantine.MAX_ENTRIES; i++) {
            PartKey key = new PartKey(SERVICE, PromptPartId.of("p" + i));
            ImmutableList<QuarantineEffect> effects = apply(new QuarantineEvent.Edited(key, false, "ana", "", i));
            assertThat(only(QuarantineEffect.Rejected.class, effects)).hasSize(i == Quarantine.MAX_ENTRIES ? 1 : 0);
        }
        apply(new QuarantineEvent.Edited(new PartKey(SERVICE, PromptPartId.of("p0")), true, "ana", "", 1));
        convict();

        assertThat(isRefused()).isTrue();
        assertThat(quarantine.entries()).hasSize(Quarantine.MAX_ENTRIES);
    }

    /** Hosts change entries while announcements and writes are lost and the store is read late; in the end all agree. */
    @Property(tries = 200, seed = "20")
    void hostsThatCouldNotReachEachOtherAgreeInTheEnd(@ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
        SimulatedHosts simulated = new SimulatedHosts(4, seed);
        for (int step = 0; step < 150; step++) {
            simulated.step(false);
        }
        for (int step = 0; step < 110; step++) {
            simulated.step(true);
        }

        ImmutableSet<PartKey> agreed = simulated.hosts.get(0).quarantined();
        for (Quarantine host : simulated.hosts) {
            assertWithMessage("seed %s", seed).that(host.quarantined()).isEqualTo(agreed);
        }
    }

    private static final class SimulatedHosts {
        private static final Duration STEP = Duration.ofMillis(500);

        private final Random random;
        private final List<Quarantine> hosts = new ArrayList<>();
        private final Map<PartKey, QuarantineEvent.StoredEntry> store = new HashMap<>();
        private boolean healed;
        private long version;
        private int steps;

        SimulatedHosts(int count, long seed) {
            random = new Random(seed);
            for (int i = 0; i < count; i++) {
                hosts.add(new Quarantine("host-" + i, HOUR, new Random(seed + i)));
            }
        }

        void step(boolean healthy) {
            healed = healthy;
            steps++;
            PartKey key = new PartKey(SERVICE, PromptPartId.of("p" + random.nextInt(3)));
            QuarantineEvent event = switch (healed ? 2 : random.nextInt(4)) {
                case 0 -> new QuarantineEvent.Convicted(key, "crashes", steps);
                case 1 -> new QuarantineEvent.Edited(key, random.nextBoolean(), "ana", "r" + steps, steps);
                case 2 -> new QuarantineEvent.RowsRead(ImmutableList.copyOf(store.values()), true, StorePosition.START);
                default -> new QuarantineEvent.Ticked(steps);
            };
            deliver(hosts.get(healed ? steps % hosts.size() : random.nextInt(hosts.size())), event);
        }

        private void deliver(Quarantine host, QuarantineEvent event) {
            for (QuarantineEffect effect : host.apply(event, steps * STEP.toNanos())) {
                switch (effect) {
                    case QuarantineEffect.Announce announce -> announce(host, announce.entry());
                    case QuarantineEffect.Write write -> write(host, write);
                    case QuarantineEffect.Changed ignored -> {}
                    case QuarantineEffect.WakeUp ignored -> {}
                    case QuarantineEffect.Rejected rejected -> throw new AssertionError(rejected);
                }
            }
        }

        private void announce(Quarantine from, QuarantineEntry entry) {
            for (Quarantine host : hosts) {
                if (host != from && random.nextInt(3) == 0) {
                    deliver(host, new QuarantineEvent.Announced(entry));
                }
            }
        }

        private void write(Quarantine host, QuarantineEffect.Write write) {
            PartKey key = write.entry().key();
            long stored = store.containsKey(key) ? store.get(key).position().version() : 0;
            if (stored == write.expected().version() && (healed || random.nextInt(3) > 0)) {
                version++;
                store.put(key, new QuarantineEvent.StoredEntry(write.entry(), new StorePosition(0, version)));
            }
            deliver(host, new QuarantineEvent.WriteEnded(key));
        }
    }
}
