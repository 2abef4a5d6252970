package org.boragebarrow.decision.observe;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.boragebarrow.decision.member.MemberView;
import org.boragebarrow.decision.observe.ObserveEffect.CancelSequence;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.port.EngineControl.Holdings;
import org.boragebarrow.port.EngineControl.Sequence;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class OrphansPropertyTest {
    private static final long SECOND = 1_000_000_000L;
    private static final TargetId ENGINE = TargetId.of("engine-1");
    private static final HostIncarnation LIVE = Views.incarnation("a1", 2);
    private static final HostIncarnation ENDED = Views.incarnation("a1", 1);
    private static final MemberView VIEW = Views.view(ImmutableSet.of("a0", "a1"), ENDED);
    private static final int STEPS = 500;

    @Property(seed = "20261204", tries = 200)
    void orphansAreRemovedDespiteLostCancellationsAndOwnedSequencesAreKept(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Orphans orphans = new Orphans(ENGINE, ObserveSettings.defaults());
        Map<AttemptId, Long> limits = new HashMap<>();
        long now = 0;
        for (int step = 0; step < STEPS; step++) {
            now += random.nextLong(SECOND);
            if (step < STEPS / 5 && random.nextInt(3) == 0) {
                HostIncarnation owner = random.nextBoolean() ? LIVE : ENDED;
                limits.put(AttemptId.of(owner, step), now + random.nextLong(-SECOND, 20 * SECOND));
            }
            Effects out = new Effects();
            orphans.handleListing(holdings(limits, now), VIEW, out, now);
            for (ObserveEffect effect : out.build()) {
                AttemptId attempt = ((CancelSequence) effect).attempt();
                boolean expired = now > limits.get(attempt);
                assertWithMessage("%s", attempt)
                        .that(expired || attempt.owner().equals(ENDED))
                        .isTrue();
                boolean lost = random.nextInt(3) == 0;
                if (!lost) {
                    limits.remove(attempt);
                }
            }
        }
        assertThat(limits).isEmpty();
    }

    private static Holdings holdings(Map<AttemptId, Long> limits, long now) {
        ImmutableList.Builder<Sequence> sequences = ImmutableList.builder();
        limits.forEach((attempt, limit) -> sequences.add(new Sequence(attempt, Duration.ofNanos(limit - now), 1)));
        return new Holdings(sequences.build(), ImmutableList.of(), ImmutableList.of());
    }
}
