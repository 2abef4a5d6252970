package org.boragebarrow.standins.engine;

import java.time.Duration;
import java.util.SplittableRandom;

import com.google.common.primitives.ImmutableLongArray;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.model.IncarnationNumber;
import org.boragebarrow.model.ModelId;
import org.boragebarrow.model.PrefixBlocks;
import org.boragebarrow.port.EngineControl.CacheEvents;
import org.boragebarrow.port.EngineControl.LoadModel;
import org.boragebarrow.port.EngineControl.Order;

import static com.google.common.truth.Truth.assertThat;

class EngineModelTest {
    private static final ModelId MODEL = ModelId.of("model");
    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final Duration MINUTE = Duration.ofMinutes(1);
    private static final EngineSettings SETTINGS = EngineSettings.builder()
            .capacityTokens(10_000)
            .batchSlots(2)
            .stepBase(Duration.ofMillis(10))
            .stepPerSequence(Duration.ZERO)
            .prefillTokensPerSecond(100_000)
            .cacheEventLoss(0)
            .build();

    private final RecordingSink sink = new RecordingSink();
    private final EngineModel engine = model(SETTINGS);

    private EngineModel model(EngineSettings settings) {
        return new EngineModel(settings, new SplittableRandom(1), sink, 0);
    }

    private static AttemptId attempt(long counter) {
        return AttemptId.of(HostIncarnation.of(HostId.of("host"), IncarnationNumber.of(1)), counter);
    }

    private static SequenceRequest request(long counter, int promptTokens, int maxTokens, int priority) {
        ImmutableLongArray noBlocks = ImmutableLongArray.of();
        return new SequenceRequest(
                attempt(counter), MODEL, counter, noBlocks, promptTokens, maxTokens, 0, priority, MINUTE, false);
    }

    private static SequenceRequest requestWithBlocks(long counter, long firstBlock, int blocks) {
        ImmutableLongArray.Builder hashes = ImmutableLongArray.builder();
        for (int i = 0; i < blocks; i++) {
            hashes.add(firstBlock + i);
        }
        int tokens = blocks * PrefixBlocks.BLOCK_TOKENS;
        return new SequenceRequest(attempt(counter), MODEL, counter, hashes.build(), tokens, 1, 0, 0, MINUTE, false);
    }

    @Example
    void aSequenceProducesEachTokenOnceAndEnds() {
        engine.submit(request(1, 100, 3, 0));
        engine.advance(SECOND);
        assertThat(sink.events)
                .containsExactly("1 token 0", "1 token 1", "1 token 2", "1 end")
                .inOrder();
        assertThat(engine.heldTokens()).isEqualTo(0);
    }

    @Example
    void eachSequenceOfABatchProducesAllItsTokens() {
        engine.submit(request(1, 100, 2, 0));
        engine.submit(request(2, 100, 2, 0));
        engine.advance(SECOND);
        assertThat(sink.events).containsExactly("1 token 0", "1 token 1", "1 end", "2 token 0", "2 token 1", "2 end");
    }

    @Example
    void lowerPriorityNumbersAreStartedFirst() {
        engine.submit(request(1, 9_000, 10, 5));
        engine.submit(request(2, 9_000, 1, 5));
        engine.submit(request(3, 9_000, 1, 1));
        engine.advance(5 * SECOND);
        assertThat(sink.events.indexOf("3 end")).isLessThan(sink.events.indexOf("2 end"));
        assertThat(sink.events.indexOf("1 end")).isLessThan(sink.events.indexOf("3 end"));
    }

    @Example
    void aSequenceLargerThanTheMemoryIsRefused() {
        Admission admission = engine.submit(request(1, 10_000, 1, 0));
        assertThat(admission).isEqualTo(new Admission.Refused(Admission.Reason.TOO_LARGE));
    }

    @Example
    void aCancelledSequenceFreesItsMemoryAtOnce() {
        engine.submit(request(1, 5_000, 100, 0));
        engine.advance(SECOND / 10);
        assertThat(engine.heldTokens()).isEqualTo(5_100);
        engine.cancel(attempt(1));
        assertThat(engine.heldTokens()).isEqualTo(0);
        assertThat(engine.find(attempt(1)).isPresent()).isFalse();
    }

    @Example
    void aSequenceIsStoppedAtItsTimeLimit() {
        engine.submit(request(1, 100, 9_000, 0));
        engine.advance(61 * SECOND);
        assertThat(sink.events).contains("1 stop");
        assertThat(engine.heldTokens()).isEqualTo(0);
    }

    @Example
    void aReservationExpires() {
        assertThat(engine.reserve(attempt(1), 9_000, Duration.ofSeconds(1))).isTrue();
        assertThat(engine.reserve(attempt(2), 9_000, MINUTE)).isFalse();
        engine.advance(SECOND);
        assertThat(engine.heldTokens()).isEqualTo(0);
    }

    @Example
    void aGangSequenceUsesItsReservation() {
        engine.reserve(attempt(1), 9_000, Duration.ofSeconds(1));
        SequenceRequest larger =
                new SequenceRequest(attempt(1), MODEL, 1, ImmutableLongArray.of(), 20_000, 2, 0, 0, MINUTE, true);
        assertThat(engine.submit(larger)).isEqualTo(new Admission.Accepted());
        assertThat(engine.heldTokens()).isEqualTo(9_000);
        engine.advance(5 * SECOND);
        assertThat(sink.events).contains("1 end");
        assertThat(engine.heldTokens()).isEqualTo(0);
    }

    @Example
    void aGangSequenceWithoutAReservationIsRefused() {
        SequenceRequest larger =
                new SequenceRequest(attempt(1), MODEL, 1, ImmutableLongArray.of(), 20_000, 2, 0, 0, MINUTE, true);
        assertThat(engine.submit(larger)).isEqualTo(new Admission.Refused(Admission.Reason.NO_RESERVATION));
    }

    @Example
    void anExportHoldsMemoryUntilItIsDeleted() {
        engine.submit(request(1, 5_000, 100, 0));
        engine.advance(SECOND / 10);
        String id = engine.export(attempt(1)).orElseThrow();
        assertThat(engine.heldTokens()).isEqualTo(5_100);
        engine.deleteExport(id);
        assertThat(engine.heldTokens()).isEqualTo(0);
    }

    @Example
    void aCachedPrefixShortensThePrefill() {
        engine.submit(requestWithBlocks(1, 100, 12));
        engine.advance(SECOND);
        engine.submit(requestWithBlocks(2, 100, 12));
        engine.advance(SECOND + SECOND / 50);
        assertThat(sink.events).contains("2 end");
    }

    @Example
    void storedAndEvictedBlocksAreReportedInOrder() {
        engine.submit(requestWithBlocks(1, 100, 12));
        engine.advance(SECOND);
        engine.submit(requestWithBlocks(2, 200, 12));
        engine.advance(3 * SECOND);
        CacheEvents events = engine.cacheEvents(0);
        assertThat(events.first()).isEqualTo(1);
        assertThat(events.next()).isEqualTo(events.first() + events.events().size());
        assertThat(events.events().stream().filter(e -> e.stored()).count()).isEqualTo(24);
        assertThat(events.events().stream().filter(e -> !e.stored()).count()).isAtLeast(5);
    }

    @Example
    void cacheEventsAreLateAndHaveGaps() {
        EngineModel lossy = model(EngineSettings.builder().cacheEventLoss(0.2).build());
        lossy.submit(requestWithBlocks(1, 100, 200));
        lossy.advance(8 * SECOND);
        long lastKnown = 0;
        int gaps = 0;
        CacheEvents events = lossy.cacheEvents(lastKnown);
        while (!events.events().isEmpty()) {
            gaps += events.first() > lastKnown + 1 ? 1 : 0;
            lastKnown = events.next() - 1;
            events = lossy.cacheEvents(lastKnown);
        }
        assertThat(gaps).isGreaterThan(10);
        assertThat(lastKnown).isAtLeast(190);
    }

    @Example
    void aLoadReportLagsBehindTheCurrentLoad() {
        engine.submit(request(1, 100, 900, 0));
        assertThat(engine.load().running()).isEqualTo(0);
        engine.advance(SECOND);
        assertThat(engine.load().running()).isEqualTo(1);
        assertThat(engine.load().age()).isGreaterThan(Duration.ZERO);
    }

    @Example
    void anOldFencingNumberIsRefusedOnlyIfFencingIsChecked() {
        EngineModel unchecked =
                model(EngineSettings.builder().checksFencing(false).build());
        Order order = new LoadModel(ModelId.of("other"));
        assertThat(engine.order(order, 7)).isTrue();
        assertThat(engine.order(order, 6)).isFalse();
        assertThat(unchecked.order(order, 7)).isTrue();
        assertThat(unchecked.order(order, 6)).isTrue();
    }

    @Example
    void aLoadedModelServesOnlyAfterItsLoadTime() {
        SequenceRequest other = new SequenceRequest(
                attempt(1), ModelId.of("other"), 1, ImmutableLongArray.of(), 1, 1, 0, 0, MINUTE, false);
        engine.order(new LoadModel(ModelId.of("other")), 1);
        assertThat(engine.submit(other)).isEqualTo(new Admission.Refused(Admission.Reason.UNKNOWN_MODEL));
        engine.advance(6 * SECOND);
        assertThat(engine.submit(other)).isEqualTo(new Admission.Accepted());
    }

    @Example
    void aFrozenEngineResumesWhereItStopped() {
        engine.submit(request(1, 100, 2, 0));
        engine.setFrozen(true);
        engine.advance(30 * SECOND);
        assertThat(sink.events).isEmpty();
        engine.setFrozen(false);
        engine.advance(31 * SECOND);
        assertThat(sink.events).contains("1 end");
    }

    @Property(seed = "20261204", tries = 200)
    void allMemoryIsFreedAfterAnyMixOfCalls(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        EngineModel fuzzed = model(SETTINGS);
        long now = 0;
        for (int i = 0; i < 300; i++) {
            now += random.nextLong(SECOND / 10);
            fuzzed.advance(now);
            callAtRandom(fuzzed, random);
            assertThat(fuzzed.heldTokens()).isAtMost(SETTINGS.capacityTokens());
        }
        fuzzed.advance(now + 2 * MINUTE.toNanos());
        fuzzed.holdings().exports().forEach(export -> fuzzed.deleteExport(export.id()));
        assertThat(fuzzed.heldTokens()).isEqualTo(0);
        assertThat(fuzzed.holdings().sequences()).isEmpty();
    }

    private static void callAtRandom(EngineModel engine, SplittableRandom random) {
        AttemptId attempt = attempt(random.nextInt(20));
        boolean gang = random.nextInt(4) == 0;
        int prompt = random.nextInt(6_000);
        int max = 1 + random.nextInt(50);
        ImmutableLongArray blocks =
                requestWithBlocks(0, random.nextInt(5), random.nextInt(6)).blockHashes();
        switch (random.nextInt(8)) {
            case 0, 1, 2 ->
                engine.submit(new SequenceRequest(
                        attempt, MODEL, 0, blocks, prompt, max, random.nextInt(max), random.nextInt(3), MINUTE, gang));
            case 3 -> engine.cancel(attempt);
            case 4 -> engine.reserve(attempt, 1 + random.nextInt(6_000), Duration.ofMillis(random.nextInt(2_000)));
            case 5 -> engine.release(attempt);
            case 6 -> engine.export(attempt);
            default -> engine.deleteExport("export-" + random.nextInt(20));
        }
    }
}
