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
        List<OutboundMessage> receive(Object message, long now);

        List<OutboundMessage> tick(long now);

        /** Returns the message to deliver for the one that was sent. */
        default Object decode(Object message) {
            return message;
        }
    }

    /** A message with its destination. */
    record OutboundMessage(Endpoint to, Object message) {}

    private record Delivery(long time, long order, Endpoint from, Endpoint to, Object message, long bytes) {}

    /** The traffic of one address. */
    static final class Traffic {
        long sentBytes;
        long receivedBytes;
        long messages;
        long cpuNanos;
    }

    private final Map<Endpoint, Node> nodes = new HashMap<>();
    private final Map<Endpoint, Traffic> traffic = new HashMap<>();
    private final Map<Endpoint, List<Delivery>> heldWhilePaused = new HashMap<>();
    private final Set<Endpoint> ticking = new HashSet<>();
    private final PriorityQueue<Delivery> queue = new PriorityQueue<>(
            (a, b) -> a.time != b.time ? Long.compare(a.time, b.time) : Long.compare(a.order, b.order));
    private final SplittableRandom random;
    private final ToLongFunction<Object> size;
    private BiPredicate<Endpoint, Endpoint> partition = (from, to) -> false;
    private double lossRatio;
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
        heldWhilePaused.remove(at);
        traffic.computeIfAbsent(at, a -> new Traffic());
        if (ticking.add(at)) {
            schedule(now + random.nextLong(TICK_NANOS), at, at, null, 0);
        }
    }

    void kill(Endpoint at) {
        nodes.remove(at);
    }

    void pause(Endpoint at) {
        heldWhilePaused.putIfAbsent(at, new ArrayList<>());
    }

    void resume(Endpoint at) {
        List<Delivery> held = heldWhilePaused.remove(at);
        if (held != null) {
            held.forEach(delivery -> schedule(now, delivery.from, delivery.to, delivery.message, delivery.bytes));
        }
    }

    void partition(BiPredicate<Endpoint, Endpoint> dropped) {
        partition = dropped;
    }

    void setLossRatio(double ratio) {
        lossRatio = ratio;
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
            Delivery delivery = queue.poll();
            now = delivery.time;
            deliver(delivery);
        }
        now = end;
    }

    /** Sends messages of a node, including those that it did not produce in {@code receive} or {@code tick}. */
    void send(Endpoint from, List<OutboundMessage> sent) {
        Traffic out = traffic.get(from);
        for (OutboundMessage message : sent) {
            long bytes = size.applyAsLong(message.message);
            out.sentBytes += bytes;
            out.messages++;
            boolean dropped = partition.test(from, message.to) || (lossRatio > 0 && random.nextDouble() < lossRatio);
            if (!dropped) {
                long latency = MILLI / 2 + random.nextLong(MILLI);
                schedule(now + latency, from, message.to, message.message, bytes);
            }
        }
    }

    private void schedule(long time, Endpoint from, Endpoint to, Object message, long bytes) {
        queue.add(new Delivery(time, order++, from, to, message, bytes));
    }

    private void deliver(Delivery delivery) {
        boolean tick = delivery.message == null;
        if (tick) {
            schedule(now + TICK_NANOS, delivery.to, delivery.to, null, 0);
        }
        Node node = nodes.get(delivery.to);
        if (node == null) {
            return;
        }
        List<Delivery> held = heldWhilePaused.get(delivery.to);
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
        List<OutboundMessage> sent = tick ? node.tick(now) : node.receive(message, now);
        in.cpuNanos += System.nanoTime() - before;
        send(delivery.to, sent);
    }
}
