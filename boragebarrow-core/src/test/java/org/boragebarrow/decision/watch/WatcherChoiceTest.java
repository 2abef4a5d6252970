package org.boragebarrow.decision.watch;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

import com.google.common.collect.ImmutableSet;
import net.jqwik.api.Example;
import org.boragebarrow.decision.placement.SizedHost;
import org.boragebarrow.model.HostId;

import static com.google.common.truth.Truth.assertThat;

class WatcherChoiceTest {
    private static final long LATER = Duration.ofSeconds(10).toNanos();

    private static ImmutableSet<HostId> hosts(int count) {
        return IntStream.range(0, count).mapToObj(i -> HostId.of("host-" + i)).collect(ImmutableSet.toImmutableSet());
    }

    private static WatcherChoice choice(HostId self, int count) {
        WatcherChoice choice = new WatcherChoice(self, "table");
        choice.setHosts(
                hosts(count).stream().map(host -> new SizedHost(host, 100)).toList());
        return choice;
    }

    @Example
    void allHostsOfALargeZoneSelectTheSameWatcherWhichReadsTheStore() {
        Set<Optional<HostId>> selected = new HashSet<>();
        for (HostId host : hosts(30)) {
            selected.add(choice(host, 30).select(0));
        }

        assertThat(selected).hasSize(2);
        HostId watcher = selected.stream().flatMap(Optional::stream).findAny().orElseThrow();
        assertThat(choice(watcher, 30).select(0)).isEmpty();
    }

    @Example
    void hostsOfASmallZoneReadTheStore() {
        for (HostId host : hosts(3)) {
            assertThat(choice(host, 3).select(0)).isEmpty();
        }
    }

    @Example
    void anotherHostIsSelectedWhileTheFirstIsExcluded() {
        HostId self = HostId.of("other");
        WatcherChoice choice = choice(self, 30);
        HostId first = choice.select(0).orElseThrow();
        choice.recordFailure(first, 0);
        HostId second = choice.select(0).orElseThrow();

        assertThat(second).isNotEqualTo(first);
        assertThat(choice.select(LATER)).hasValue(first);
    }

    @Example
    void theStoreIsReadAfterAllCandidatesHaveFailed() {
        WatcherChoice choice = choice(HostId.of("other"), 30);
        for (int i = 0; i < 3; i++) {
            choice.select(0).ifPresent(host -> choice.recordFailure(host, 0));
        }

        assertThat(choice.select(0)).isEmpty();
    }
}
