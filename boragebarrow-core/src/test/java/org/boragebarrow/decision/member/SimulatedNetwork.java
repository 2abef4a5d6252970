package org.boragebarrow.decision.member;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;
import java.util.function.ToLongFunction;

import org.boragebarrow.model.Endpoint;

/** Delivers messages between state machines in memory, in simulated time; the same seed gives the same run. */
final class SimulatedNetwork {
    static final long MILLI = 1_000_000L;
    static final long TICK_NANOS = 100 * MILLI;

    /** A state machine at an address. */
    interface Node {
        List<Sent> receive(Object message, long now);

        List<Sent> tick(long now);

        /** Returns the message to deliver for the one that was sent. */
        default Object decode(Object message) {
            return message;
        }
    }

    /** A message with its destination. */
    record Sent(Endpoint to, Object message) {}

    private record Due(long time, long order, Endpoint from, Endpoint to, Object message, long bytes) {}

    /** The traffic of one address. */
    static final class Traffic {
        long sentBytes;
        long receivedBytes;
        long messages;
        long cpuNanos;
    }

    private final Map<Endpoint, Node> nodes = new HashMap<>();
    private final Map<Endpoint, Traffic> traffic = new HashMap<>();
    private final Map<Endpoint, List<Due>> paused = new HashMap<>();
    private final Set<Endpoint> ticking = new HashSet<>();
    private final PriorityQueue<Due> queue = new PriorityQueue<>(
            (a, b) -> a.time != b.time ? Long.compare(a.time, b.time) : Long.compare(a.order, b.order));
    private final SplittableRandom random;
    private final ToLongFunction<Object> size;
    private BiPredicate<Endpoint, Endpoint> cut = (from, to) -> false;
    private double loss;
    private long order;
    private long now;

    SimulatedNetwork(long seed, ToLongFunction<Object> size) {
        this.random = new SplittableRandom(seed);
        this.size = size;
    }

    long now() {
        return now;
    }

    /** Starts a node, which replaces any earlier one at the address. */
    void start(Endpoint at, Node node) {
        nodes.put(at, node);
        paused.remove(at);
        traffic.computeIfAbsent(at, a -> new Traffic());
        if (ticking.add(at)) {
            schedule(now + random.nextLong(TICK_NANOS), at, at, null, 0);
        }
    }

    void kill(Endpoint at) {
        nodes.remove(at);
    }

    void pause(Endpoint at) {
        paused.putIfAbsent(at, new ArrayList<>());
    }

    void resume(Endpoint at) {
        List<Due> held = paused.remove(at);
        if (held != null) {
            held.forEach(delivery -> schedule(now, delivery.from, delivery.to, delivery.message, delivery.bytes));
        }
    }

    void cut(BiPredicate<Endpoint, Endpoint> dropped) {
        cut = dropped;
    }

    void lose(double ratio) {
        loss = ratio;
    }

    Map<Endpoint, Traffic> traffic() {
        return traffic;
    }

    void clearTraffic() {
        traffic.replaceAll((at, old) -> new Traffic());
    }

    void run(long nanos) {
        long end = now + nanos;
        while (!queue.isEmpty() && queue.peek().time <= end) {
            Due delivery = queue.poll();
            now = delivery.time;
            deliver(delivery);
        }
        now = end;
    }

    /** Sends messages of a node, also those that it produces outside of a tick or a receipt. */
    void send(Endpoint from, List<Sent> sent) {
        Traffic out = traffic.get(from);
        for (Sent message : sent) {
            long bytes = size.applyAsLong(message.message);
            out.sentBytes += bytes;
            out.messages++;
            boolean dropped = cut.test(from, message.to) || (loss > 0 && random.nextDouble() < loss);
            if (!dropped) {
                long latency = MILLI / 2 + random.nextLong(MILLI);
                schedule(now + latency, from, message.to, message.message, bytes);
            }
        }
    }

    private void schedule(long time, Endpoint from, Endpoint to, Object message, long bytes) {
        queue.add(new Due(time, order++, from, to, message, bytes));
    }

    private void deliver(Due delivery) {
        boolean tick = delivery.message == null;
        if (tick) {
            schedule(now + TICK_NANOS, delivery.to, delivery.to, null, 0);
        }
        Node node = nodes.get(delivery.to);
        if (node == null) {
            return;
        }
        List<Due> held = paused.get(delivery.to);
        if (held != null) {
            if (!tick) {
                held.add(delivery);
            }
            return;
        }
        Traffic in = traffic.get(delivery.to);
        in.receivedBytes += delivery.bytes;
        Object message = tick ? null : node.decode(delivery.message);
        long before = System.nanoTime();
        List<Sent> sent = tick ? node.tick(now) : node.receive(message, now);
        in.cpuNanos += System.nanoTime() - before;
        send(delivery.to, sent);
    }
}
