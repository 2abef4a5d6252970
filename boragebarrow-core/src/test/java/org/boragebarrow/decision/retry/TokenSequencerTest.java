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
        TokenSequencer s = new TokenSequencer(5);
        s.onToken(0, "a");
        assertThat(s.onToken(0, "a")).isEqualTo(TokenSequencer.Verdict.DROP);
        assertThat(s.delivered()).isEqualTo("a");
    }

    @Example
    void aMissingTokenFailsTheAttempt() {
        TokenSequencer s = new TokenSequencer(5);
        assertThat(s.onToken(1, "b")).isEqualTo(TokenSequencer.Verdict.FAIL);
    }

    @Example
    void anEndWithTooFewTokensIsNotComplete() {
        TokenSequencer s = new TokenSequencer(5);
        s.onToken(0, "a");
        assertThat(s.onEnd(2)).isFalse();
        assertThat(s.isComplete()).isFalse();
    }

    @Example
    void moreTokensThanAllowedFailTheAttempt() {
        TokenSequencer s = new TokenSequencer(1);
        s.onToken(0, "a");
        assertThat(s.onToken(1, "b")).isEqualTo(TokenSequencer.Verdict.FAIL);
    }

    @Property(seed = "5", tries = 300)
    void overAnyBreaksTheCallerGetsEachTokenOnce(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int count = 1 + random.nextInt(30);
        TokenSequencer s = new TokenSequencer(count);
        List<Integer> got = new ArrayList<>();
        while (!s.isComplete()) {
            int from = random.nextInt(s.next() + 1);
            int to = from + random.nextInt(count - from + 1);
            for (int i = from; i < to; i++) {
                if (s.onToken(i, "t") == TokenSequencer.Verdict.DELIVER) {
                    got.add(i);
                }
            }
            assertThat(s.onEnd(count)).isEqualTo(got.size() == count);
        }
        for (int i = 0; i < count; i++) {
            assertThat(got.get(i)).isEqualTo(i);
        }
    }
}
