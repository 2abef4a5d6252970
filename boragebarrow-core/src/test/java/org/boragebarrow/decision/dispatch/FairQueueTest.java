package org.boragebarrow.decision.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.boragebarrow.model.OrganisationId;

import static com.google.common.truth.Truth.assertThat;

final class FairQueueTest {
    private static final int MAX_OVERTAKES = 8;

    private final DispatcherFixture fixture = new DispatcherFixture();
    private long sequence;

    private QueuedRequest queued(String organisation, int promptTokens) {
        GrantRequest r = fixture.prompt(OrganisationId.of(organisation), promptTokens, 4, Duration.ofHours(1));
        return new QueuedRequest(r, sequence++, 1);
    }

    private static QueuedRequest grantFirst(FairQueue queue) {
        QueuedRequest q = queue.first().orElseThrow();
        queue.grant(q);
        return q;
    }

    @Example
    void anOrganisationThatFloodsTheQueueDoesNotDelayAnother() {
        FairQueue queue = new FairQueue(1_000);
        for (int i = 0; i < 100; i++) {
            queue.add(queued("large", 1_000), 1);
        }
        QueuedRequest other = queued("small", 1_000);
        queue.add(other, 1);
        grantFirst(queue);
        grantFirst(queue);
        assertThat(queue.first().orElseThrow() == other
                        || !queue.candidates(200).contains(other))
                .isTrue();
    }

    @Example
    void organisationsAreServedInProportionToTheirWeights() {
        FairQueue queue = new FairQueue(1_000);
        for (int i = 0; i < 60; i++) {
            queue.add(queued("heavy", 1_000), 3);
            queue.add(queued("light", 1_000), 1);
        }
        int heavy = 0;
        for (int i = 0; i < 40; i++) {
            heavy += grantFirst(queue).request.organisation().value().equals("heavy") ? 1 : 0;
        }
        assertThat(heavy).isAtLeast(29);
        assertThat(heavy).isAtMost(31);
    }

    @Example
    void aLightOrganisationIsPredictedToWaitOnlyForItsShare() {
        FairQueue queue = new FairQueue(1_000);
        for (int i = 0; i < 100; i++) {
            queue.add(queued("large", 1_000), 1);
        }
        assertThat(queue.fractionAhead(OrganisationId.of("small"), 1_000, 1)).isLessThan(0.05);
        assertThat(queue.fractionAhead(OrganisationId.of("large"), 1_000, 1)).isEqualTo(1.0);
    }

    @Property(seed = "17", tries = 200)
    void noRequestIsOvertakenMoreOftenThanTheLimit(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        FairQueue queue = new FairQueue(MAX_OVERTAKES);
        List<QueuedRequest> waiting = new ArrayList<>();
        Map<QueuedRequest, Integer> overtakes = new HashMap<>();
        for (int i = 0; i < 300; i++) {
            if (random.nextInt(3) > 0 || waiting.isEmpty()) {
                QueuedRequest q = queued("org" + random.nextInt(4), 1 + random.nextInt(100_000));
                queue.add(q, 1 + random.nextInt(5));
                waiting.add(q);
                continue;
            }
            List<QueuedRequest> candidates = queue.candidates(3);
            QueuedRequest granted = candidates.get(random.nextInt(candidates.size()));
            queue.grant(granted);
            waiting.remove(granted);
            for (QueuedRequest q : waiting) {
                if (q.sequence < granted.sequence) {
                    assertThat(overtakes.merge(q, 1, Integer::sum)).isAtMost(MAX_OVERTAKES);
                }
            }
        }
    }
}
