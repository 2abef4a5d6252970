package org.boragebarrow.trials.soak;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;

import com.google.common.collect.ConcurrentHashMultiset;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.Multiset;
import org.boragebarrow.node.Host;
import org.boragebarrow.trials.Caller;
import org.boragebarrow.trials.Deployment;
import org.boragebarrow.trials.Network;

/**
 * The objects that all threads of one run share. Thread-safe.
 *
 * @param outcomes the number of each outcome of a call
 * @param lastRequestNumber the number of the latest request id
 */
record SoakContext(
        Deployment deployment,
        Network network,
        Caller caller,
        Violations violations,
        Trace trace,
        InjectedFaults faults,
        Multiset<String> outcomes,
        AtomicLong lastRequestNumber,
        AtomicBoolean stopped) {
    static SoakContext of(Deployment deployment, Network network, Caller caller) {
        return new SoakContext(
                deployment,
                network,
                caller,
                new Violations(),
                new Trace(),
                new InjectedFaults(),
                ConcurrentHashMultiset.create(),
                new AtomicLong(),
                new AtomicBoolean());
    }

    /** Returns a random ready host, as a load balancer selects one; empty if no host is ready. */
    Optional<Host> randomReadyHost(RandomGenerator random) {
        ImmutableList<Host> readyHosts =
                deployment.hosts().stream().filter(Host::isReady).collect(ImmutableList.toImmutableList());
        return readyHosts.isEmpty() ? Optional.empty() : Optional.of(readyHosts.get(random.nextInt(readyHosts.size())));
    }

    boolean isStopped() {
        return stopped.get();
    }
}
