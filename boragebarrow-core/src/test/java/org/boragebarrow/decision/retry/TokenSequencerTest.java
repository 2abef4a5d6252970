package org.boragebarrow.decision.retry;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import static com.google.common.truth.Truth.assertThat;

final class TokenSequencerTest {
    @Example
    void aRepeatedTokenIsDropped() {
        TokenSequencer sequencer = new TokenSequencer(5);
        sequencer.onToken(0, "a");
        assertThat(sequencer.onToken(0, "a")).isEqualTo(TokenSequencer.Action.DROP);
        assertThat(sequencer.delivered()).isEqualTo("a");
    }

    @Example
    void aMissingTokenFailsTheAttempt() {
        TokenSequencer sequencer = new TokenSequencer(5);
        assertThat(sequencer.onToken(1, "b")).isEqualTo(TokenSequencer.Action.FAIL);
    }

    @Example
    void anEndWithTooFewTokensIsNotComplete() {
        TokenSequencer sequencer = new TokenSequencer(5);
        sequencer.onToken(0, "a");
        assertThat(sequencer.onEnd(2)).isFalse();
        assertThat(sequencer.isComplete()).isFalse();
    }

    @Example
    void moreTokensThanAllowedFailTheAttempt() {
        TokenSequencer sequencer = new TokenSequencer(1);
        sequencer.onToken(0, "a");
        assertThat(sequencer.onToken(1, "b")).isEqualTo(TokenSequencer.Action.FAIL);
    }

    @Property(seed = "5", tries = 300)
    void theCallerGetsEachTokenOnceAcrossInterruptions(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int count = 1 + random.nextInt(30);
        TokenSequencer sequencer = new TokenSequencer(count);
        List<Integer> delivered = new ArrayList<>();
        while (!sequencer.isComplete()) {
            int from = random.nextInt(sequencer.nextIndex() + 1);
            int to = from + random.nextInt(count - from + 1);
            for (int i = from; i < to; i++) {
                if (sequencer.onToken(i, "t") == TokenSequencer.Action.DELIVER) {
                    delivered.add(i);
                }
            }
            assertThat(sequencer.onEnd(count)).isEqualTo(delivered.size() == count);
        }
        for (int i = 0; i < count; i++) {
            assertThat(delivered.get(i)).isEqualTo(i);
        }
    }
}
