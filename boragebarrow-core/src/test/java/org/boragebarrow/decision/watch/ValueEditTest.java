package org.boragebarrow.decision.watch;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Random;

import com.google.common.primitives.Bytes;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static com.google.common.truth.Truth.assertThat;

class ValueEditTest {
    /** Returns a configuration of many similar routes, of which one may have another service. */
    private static byte[] configuration(int version, int routes, int changedRoute) {
        StringBuilder text = new StringBuilder("{\"version\":" + version + ",\"routes\":[");
        for (int i = 0; i < routes; i++) {
            text.append("{\"name\":\"route-" + i + "\",\"host\":\"h" + i % 7 + ".example\",\"prefix\":\"/p" + i
                    + "/\",\"kind\":\"safe\",\"timeout_ms\":3000,\"service\":\""
                    + (i == changedRoute ? "another-service" : "plain") + "\"},");
        }
        return text.append("{}]}").toString().getBytes(StandardCharsets.UTF_8);
    }

    @Property(tries = 200, seed = "7")
    void anEditTurnsTheEarlierValueIntoTheLaterOne(
            @ForAll long seed,
            @ForAll @IntRange(max = 400) int size,
            @ForAll @IntRange(min = 1, max = 256) int values) {
        Random random = new Random(seed);
        byte[] earlier = bytes(random, size, values);
        int from = random.nextInt(size + 1);
        int until = from + random.nextInt(size + 1 - from);
        byte[] later = Bytes.concat(
                Arrays.copyOf(earlier, from),
                bytes(random, random.nextInt(60), values),
                Arrays.copyOfRange(earlier, until, size));

        assertThat(ValueEdit.between(earlier, later).applyTo(earlier)).isEqualTo(later);
    }

    private static byte[] bytes(Random random, int size, int values) {
        byte[] bytes = new byte[size];
        for (int i = 0; i < size; i++) {
            bytes[i] = (byte) random.nextInt(values);
        }
        return bytes;
    }

    @Example
    void aSmallChangeOfALargeConfigurationIsSmall() {
        byte[] earlier = configuration(9, 1_500, -1);
        byte[] later = configuration(10, 1_500, 700);

        assertThat(ValueEdit.between(earlier, later).bytes()).isLessThan(400);
    }

    @Example
    void routesThatAreInsertedAndRemovedCostTheirOwnSize() {
        byte[] earlier = configuration(9, 1_000, -1);
        byte[] later = configuration(10, 1_010, -1);

        assertThat(ValueEdit.between(earlier, later).bytes()).isLessThan(1_600);
        assertThat(ValueEdit.between(later, earlier).bytes()).isLessThan(300);
    }

    @Example
    void anEditIsNotAppliedToAnotherValue() {
        byte[] earlier = configuration(9, 10, -1);
        ValueEdit edit = ValueEdit.between(earlier, configuration(10, 10, 3));
        byte[] other = configuration(9, 10, 5);
        byte[] shorter = configuration(9, 2, -1);

        assertThat(isApplicable(edit, other)).isFalse();
        assertThat(isApplicable(edit, shorter)).isFalse();
        assertThat(isApplicable(edit, earlier)).isTrue();
    }

    private static boolean isApplicable(ValueEdit edit, byte[] earlier) {
        try {
            edit.applyTo(earlier);
            return true;
        } catch (IllegalArgumentException e) {
            return false;
        }
    }
}
