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

/** What all parts of one run share. Thread-safe. */
record World(
        Deployment deployment,
        Network network,
        Caller caller,
        Violations violations,
        Trace trace,
        Multiset<String> outcomes,
        AtomicLong ids,
        AtomicBoolean stopped) {
    static World of(Deployment deployment, Network network, Caller caller) {
        return new World(
                deployment,
                network,
                caller,
                new Violations(),
                new Trace(),
                ConcurrentHashMultiset.create(),
                new AtomicLong(),
                new AtomicBoolean());
    }

    /** Returns a host that runs, as a balancer would pick one. */
    Optional<Host> anyHost(RandomGenerator random) {
        ImmutableList<Host> ready =
                deployment.hosts().stream().filter(Host::isReady).collect(ImmutableList.toImmutableList());
        return ready.isEmpty() ? Optional.empty() : Optional.of(ready.get(random.nextInt(ready.size())));
    }

    boolean isStopped() {
        return stopped.get();
    }
}
