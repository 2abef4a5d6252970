package org.boragebarrow.decision.memory;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.model.TargetId;

import static com.google.common.truth.Truth.assertThat;

class ResponseMemoryTest {
    private static final int KIB = 1 << 10;
    private static final long LIMIT = 1_024 * KIB;
    private static final ServiceName SERVICE = ServiceName.of("service");

    private final ResponseMemory memory = ResponseMemory.of(LIMIT);
    private final List<String> ended = new ArrayList<>();

    private ResponseMemory.Holding open(String target) {
        return open(target, SERVICE, target);
    }

    private ResponseMemory.Holding open(String target, ServiceName service, String name) {
        return memory.open(TargetId.of(target), service, () -> ended.add(name));
    }

    @Example
    void aShortResponseIsHeldWhileLongOnesTakeWhatTheyMay() {
        ResponseMemory.Holding endless = open("bad");
        while (endless.tryHold(16 * KIB)) {
            assertThat(memory.heldBytes()).isAtMost(LIMIT);
        }

        assertThat(open("good").tryHold(64 * KIB)).isTrue();
        assertThat(ended).isEmpty();
    }

    @Example
    void theTargetWhoseResponsesGoOnGivesWayToALongOne() {
        ResponseMemory.Holding sound = open("good");
        sound.onComplete(200 * KIB);
        assertThat(sound.tryHold(200 * KIB)).isTrue();
        List<ResponseMemory.Holding> endless = List.of(open("bad"), open("bad"), open("bad"), open("bad"));
        for (int round = 0; round < 100; round++) {
            endless.forEach(holding -> holding.tryHold(16 * KIB));
        }

        assertThat(ended).doesNotContain("good");
        assertThat(sound.heldBytes()).isEqualTo(200 * KIB);
        assertThat(memory.heldBytes()).isAtMost(LIMIT);
    }

    @Example
    void oneLongResponseMakesRoomAmongManyOfAnotherTarget() {
        List<ResponseMemory.Holding> endless = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            endless.add(open("bad", SERVICE, "bad " + i));
            endless.get(i).tryHold((170 + i) * KIB);
        }

        assertThat(open("good").tryHold(380 * KIB)).isTrue();
        assertThat(ended).containsExactly("bad 3", "bad 2");
    }

    @Example
    void aResponseAsLongAsCompleteOnesOfItsServiceStays() {
        ServiceName archives = ServiceName.of("archives");
        open("other", archives, "other").onComplete(600 * KIB);
        ResponseMemory.Holding archive = open("archive", archives, "archive");
        archive.tryHold(500 * KIB);
        ResponseMemory.Holding unusual = open("bad", SERVICE, "bad");

        assertThat(unusual.tryHold(200 * KIB)).isTrue();
        assertThat(unusual.tryHold(200 * KIB)).isFalse();
        assertThat(archive.heldBytes()).isEqualTo(500 * KIB);
        assertThat(ended).isEmpty();
    }

    @Example
    void whatGaveWayIsNotReleasedTwice() {
        ResponseMemory.Holding first = open("bad");
        first.tryHold(700 * KIB);
        ResponseMemory.Holding second = open("good");
        assertThat(second.tryHold(100 * KIB)).isTrue();
        first.release(700 * KIB);

        assertThat(ended).containsExactly("bad");
        assertThat(memory.heldBytes()).isEqualTo(100 * KIB);
        assertThat(memory.endedResponses()).isEqualTo(1);
    }

    @Property(tries = 100, seed = "48")
    void theAccountIsTheSumOfItsHoldingsAndStaysWithinTheLimit(@ForAll long seed) {
        Random random = new Random(seed);
        ResponseMemory account = ResponseMemory.of(LIMIT);
        List<ResponseMemory.Holding> holdings = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            holdings.add(account.open(TargetId.of("target" + i % 5), ServiceName.of("service" + i % 3), () -> {}));
        }
        for (int step = 0; step < 400; step++) {
            ResponseMemory.Holding holding = holdings.get(random.nextInt(holdings.size()));
            switch (random.nextInt(4)) {
                case 0 -> holding.release(random.nextInt(200 * KIB));
                case 1 -> holding.onComplete(random.nextInt(300 * KIB));
                default -> {
                    if (!holding.tryHold(random.nextInt(100 * KIB))) {
                        holding.release(holding.heldBytes());
                    }
                }
            }
            long sum = holdings.stream()
                    .mapToLong(ResponseMemory.Holding::heldBytes)
                    .sum();
            assertThat(account.heldBytes()).isEqualTo(sum);
            assertThat(sum).isAtMost(LIMIT);
        }
    }
}
