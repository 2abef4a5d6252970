package org.boragebarrow.decision.evacuation;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.google.common.collect.ImmutableList;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.boragebarrow.model.AvailabilityZoneId;

import static com.google.common.truth.Truth.assertThat;

class EmptiedZonesTest {
    private static final AvailabilityZoneId A = AvailabilityZoneId.of("a");
    private static final AvailabilityZoneId B = AvailabilityZoneId.of("b");

    private final EmptiedZones zones = new EmptiedZones();

    @Example
    void aZoneThatIsEmptiedAgainKeepsItsTime() {
        zones.empty(A, 5);
        assertThat(zones.empty(A, 9).isEmpty()).isTrue();
        assertThat(zones.replace(ImmutableList.of(A, B), 11).emptied()).containsExactly(B);

        assertThat(zones.since()).containsExactly(A, 5L, B, 11L);
    }

    @Example
    void aFullReadTakesBackTheZonesThatItDoesNotShow() {
        zones.empty(A, 1);
        assertThat(zones.replace(ImmutableList.of(B), 2).takenBack()).containsExactly(A);
        assertThat(zones.zones()).containsExactly(B);
    }

    @Property(tries = 100, seed = "5")
    void theZonesAreThoseOfTheLastChangeOfEach(@ForAll @Size(max = 30) List<@IntRange(max = 15) Integer> steps) {
        Map<AvailabilityZoneId, Boolean> expected = new LinkedHashMap<>();
        long now = 0;
        for (int step : steps) {
            AvailabilityZoneId zone = AvailabilityZoneId.of("z" + step / 2 % 4);
            boolean empties = step % 2 == 0;
            if (step < 8) {
                expected.put(zone, empties);
                assertThat(empties ? zones.empty(zone, now++) : zones.takeBack(zone, now++))
                        .isNotNull();
            } else {
                expected.clear();
                expected.put(zone, true);
                zones.replace(ImmutableList.of(zone), now++);
            }
            for (int i = 0; i < 4; i++) {
                AvailabilityZoneId each = AvailabilityZoneId.of("z" + i);
                assertThat(zones.contains(each)).isEqualTo(expected.getOrDefault(each, false));
            }
        }
        zones.replace(ImmutableList.of(), now);
    }
}
