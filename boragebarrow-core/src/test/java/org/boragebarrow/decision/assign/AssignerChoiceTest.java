package org.boragebarrow.decision.assign;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import net.jqwik.api.Example;
import org.boragebarrow.decision.placement.Rendezvous;
import org.boragebarrow.decision.placement.SizedHost;
import org.boragebarrow.model.HostId;

import static com.google.common.truth.Truth.assertThat;

class AssignerChoiceTest {
    private static final ImmutableSet<HostId> HOSTS =
            ImmutableSet.of(HostId.of("a"), HostId.of("b"), HostId.of("c"), HostId.of("d"));
    private static final ImmutableList<HostId> RANKED = Rendezvous.rank("assigner", HOSTS, HOSTS.size());
    private static final HostId FIRST = RANKED.get(0);
    private static final HostId SECOND = RANKED.get(1);
    private static final HostId LAST = RANKED.get(3);

    private final AssignerChoice choice = new AssignerChoice(LAST);

    private static long millis(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private static ImmutableList<SizedHost> sized(ImmutableSet<HostId> hosts) {
        return hosts.stream().map(host -> new SizedHost(host, 100)).collect(ImmutableList.toImmutableList());
    }

    @Example
    void theLargestHostThatRespondedIsSelected() {
        choice.setHosts(
                ImmutableList.of(new SizedHost(FIRST, 36), new SizedHost(SECOND, 36), new SizedHost(LAST, 150)));
        choice.recordResponse(FIRST, 0);

        assertThat(choice.select(0)).isEqualTo(LAST);
    }

    @Example
    void withoutResponsesTheHostSelectsItself() {
        choice.setHosts(sized(HOSTS));

        assertThat(choice.select(0)).isEqualTo(LAST);
    }

    @Example
    void theFirstRankedHostThatRespondedIsSelected() {
        choice.setHosts(sized(HOSTS));
        choice.recordResponse(SECOND, 0);
        assertThat(choice.select(0)).isEqualTo(SECOND);
        choice.recordResponse(FIRST, 0);
        assertThat(choice.select(0)).isEqualTo(FIRST);
    }

    @Example
    void aStoppingHostIsNotSelectedUntilItHasStartedAgain() {
        choice.setHosts(sized(HOSTS));
        choice.recordResponse(FIRST, 0);
        choice.recordResponse(SECOND, 0);
        choice.recordStopping(FIRST);
        choice.recordResponse(FIRST, 0);
        assertThat(choice.select(0)).isEqualTo(SECOND);
        choice.recordRestart(FIRST);
        assertThat(choice.select(0)).isEqualTo(FIRST);
    }

    @Example
    void ifAllLiveHostsAreStoppingTheFirstOfThemIsSelected() {
        choice.setHosts(sized(HOSTS));
        choice.recordResponse(SECOND, 0);
        choice.recordStopping(SECOND);
        choice.recordStopping(LAST);

        assertThat(choice.select(0)).isEqualTo(SECOND);
        assertThat(choice.select(millis(60_000))).isEqualTo(LAST);
    }

    @Example
    void aStoppingHostDoesNotCountAsTheSuccessorThatIsProbed() {
        choice.setHosts(sized(HOSTS));
        choice.recordResponse(FIRST, 0);
        choice.recordResponse(SECOND, 0);
        choice.recordStopping(SECOND);

        assertThat(choice.hostsToProbe(0)).contains(RANKED.get(2));
    }

    @Example
    void anUnansweredRequestExcludesTheHostAtOnce() {
        choice.setHosts(sized(HOSTS));
        choice.recordResponse(FIRST, 0);
        choice.recordResponse(SECOND, 0);
        choice.recordTimeout(FIRST);

        assertThat(choice.select(0)).isEqualTo(SECOND);
    }

    @Example
    void aHostThatStopsRespondingIsExcludedAfterTheTimeout() {
        choice.setHosts(sized(HOSTS));
        choice.recordResponse(FIRST, 0);

        assertThat(choice.select(millis(AssignerChoice.LIVENESS_TIMEOUT_MILLIS - 1)))
                .isEqualTo(FIRST);
        assertThat(choice.select(millis(AssignerChoice.LIVENESS_TIMEOUT_MILLIS)))
                .isEqualTo(LAST);
    }

    @Example
    void onlyTheFirstTwoLiveHostsAreProbed() {
        choice.setHosts(sized(HOSTS));
        choice.recordResponse(FIRST, 0);
        choice.recordResponse(SECOND, 0);

        assertThat(choice.hostsToProbe(1)).containsExactly(FIRST, SECOND).inOrder();
    }

    @Example
    void unresponsiveHostsAreProbedWithBackoff() {
        choice.setHosts(sized(HOSTS));
        int probes = 0;
        for (long now = 0; now < 20_000; now += AssignerChoice.PROBE_INTERVAL_MILLIS) {
            probes += choice.hostsToProbe(millis(now)).contains(FIRST) ? 1 : 0;
        }

        assertThat(probes).isAtLeast(4);
        assertThat(probes).isAtMost(10);
    }

    @Example
    void aHostThatIsNoLongerListedIsNotSelected() {
        choice.setHosts(sized(HOSTS));
        choice.recordResponse(FIRST, 0);
        choice.setHosts(sized(ImmutableSet.of(SECOND, LAST)));

        assertThat(choice.select(0)).isEqualTo(LAST);
    }

    @Example
    void aHostThatStartsInALargeFleetProbesFewHostsAtOnceAndFindsTheFirstLiveOne() {
        ImmutableSet<HostId> fleet =
                IntStream.range(0, 60).mapToObj(i -> HostId.of("host-" + i)).collect(ImmutableSet.toImmutableSet());
        AssignerChoice starting = new AssignerChoice(HostId.of("host-0"));
        starting.setHosts(sized(fleet));
        ImmutableList<HostId> probed = starting.hostsToProbe(0);
        assertThat(probed.size()).isAtMost(8);

        Set<HostId> all = new HashSet<>(probed);
        for (int round = 1; round < 8; round++) {
            all.addAll(starting.hostsToProbe(millis(round * AssignerChoice.PROBE_INTERVAL_MILLIS)));
        }
        assertThat(all).hasSize(fleet.size() - 1);

        starting.recordResponse(probed.get(0), millis(6_000));
        starting.recordResponse(probed.get(1), millis(6_000));
        assertThat(starting.hostsToProbe(millis(6_001))).containsExactly(probed.get(0), probed.get(1));
    }
}
