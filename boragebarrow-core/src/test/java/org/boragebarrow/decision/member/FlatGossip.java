package org.boragebarrow.decision.member;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import org.boragebarrow.decision.member.SimulatedNetwork.Sent;
import org.boragebarrow.model.Endpoint;

/**
 * The baseline of the measurements: flat gossip as in "gossip (Redis Cluster internals)".
 *
 * <p>Each second a node pings the least recently heard of five random nodes, and each node from which it has received
 * nothing for half the timeout. A ping is answered by a pong; both carry the entries of a tenth of the nodes, at least
 * three, chosen at random. A node that is unresponsive for the timeout is marked as failed once a majority suspects it;
 * the first node that observes the majority broadcasts the failure.
 */
final class FlatGossip implements SimulatedNetwork.Node {
    private static final int MIN_ENTRIES = 3;
    private static final int SAMPLE = 5;
    private static final long SECOND = 1_000 * SimulatedNetwork.MILLI;

    /** The state of a node other than the sender, as carried by a message. */
    record Entry(Member member, long heardAgoMillis, boolean suspected) {}

    /** A ping or a pong. */
    record Gossip(Member sender, long applied, long highestKnown, boolean ping, List<Entry> entries) {}

    /** Reports that a majority suspects the node, so that it counts as failed. */
    record Failed(Member sender, Member subject) {}

    private static final class Known {
        final Member member;
        final Map<Endpoint, Long> accusers = new HashMap<>();
        long heardNanos;
        long pingSentNanos = -1;
        boolean failed;

        Known(Member member, long lastHeardNanos) {
            this.member = member;
            this.heardNanos = lastHeardNanos;
        }
    }

    private final Member self;
    private final long timeoutNanos;
    private final SplittableRandom random;
    private final Map<Endpoint, Known> known = new HashMap<>();
    private final List<Known> order = new ArrayList<>();
    private long nextRandomPingNanos;
    long applied;
    long highestKnown;

    FlatGossip(Member self, long timeoutNanos, long seed) {
        this.self = self;
        this.timeoutNanos = timeoutNanos;
        this.random = new SplittableRandom(seed);
    }

    void meet(Member member, long now) {
        if (!member.equals(self) && !known.containsKey(member.endpoint())) {
            Known node = new Known(member, now - random.nextLong(timeoutNanos / 2));
            known.put(member.endpoint(), node);
            order.add(node);
        }
    }

    boolean holdsFailed(Endpoint endpoint) {
        return known.get(endpoint).failed;
    }

    @Override
    public List<Sent> receive(Object message, long now) {
        List<Sent> out = new ArrayList<>();
        switch (message) {
            case Gossip gossip -> hear(gossip, out, now);
            case Failed failed -> {
                Known subject = known.get(failed.subject.endpoint());
                if (subject != null) {
                    subject.failed = true;
                }
            }
            default -> throw new IllegalArgumentException(message.toString());
        }
        return out;
    }

    private void hear(Gossip gossip, List<Sent> out, long now) {
        highestKnown = Math.max(highestKnown, gossip.highestKnown);
        meet(gossip.sender, now);
        Known sender = known.get(gossip.sender.endpoint());
        sender.failed = false;
        sender.accusers.clear();
        if (gossip.ping) {
            out.add(new Sent(gossip.sender.endpoint(), gossip(sender, false, now)));
        } else {
            sender.heardNanos = now;
            sender.pingSentNanos = -1;
        }
        for (Entry entry : gossip.entries) {
            if (!entry.member.endpoint().equals(self.endpoint())) {
                meet(entry.member, now);
                merge(known.get(entry.member.endpoint()), entry, gossip.sender.endpoint(), out, now);
            }
        }
    }

    private void merge(Known subject, Entry entry, Endpoint reporter, List<Sent> out, long now) {
        if (!entry.suspected) {
            subject.accusers.remove(reporter);
            long lastHeard = now - entry.heardAgoMillis * SimulatedNetwork.MILLI;
            if (subject.pingSentNanos < 0 && subject.accusers.isEmpty()) {
                subject.heardNanos = Math.max(subject.heardNanos, lastHeard);
            }
            return;
        }
        subject.accusers.put(reporter, now);
        accuse(subject, out, now);
    }

    private void accuse(Known subject, List<Sent> out, long now) {
        subject.accusers.values().removeIf(reportedNanos -> now - reportedNanos > 2 * timeoutNanos);
        boolean majority = subject.accusers.size() + 1 > (known.size() + 1) / 2;
        if (!subject.failed && isSuspected(subject, now) && majority) {
            subject.failed = true;
            for (Known node : order) {
                out.add(new Sent(node.member.endpoint(), new Failed(self, subject.member)));
            }
        }
    }

    private boolean isSuspected(Known node, long now) {
        return node.pingSentNanos >= 0 && now - node.pingSentNanos > timeoutNanos;
    }

    @Override
    public List<Sent> tick(long now) {
        List<Sent> out = new ArrayList<>();
        if (now - nextRandomPingNanos >= 0) {
            nextRandomPingNanos = now + SECOND;
            pingLongestUnheard(out, now);
        }
        for (Known node : order) {
            if (node.pingSentNanos < 0 && now - node.heardNanos > timeoutNanos / 2) {
                ping(node, out, now);
            }
            if (isSuspected(node, now)) {
                accuse(node, out, now);
            }
        }
        return out;
    }

    private void pingLongestUnheard(List<Sent> out, long now) {
        Known oldest = null;
        for (int i = 0; i < SAMPLE && !order.isEmpty(); i++) {
            Known node = order.get(random.nextInt(order.size()));
            boolean older = node.pingSentNanos < 0 && (oldest == null || node.heardNanos < oldest.heardNanos);
            oldest = older ? node : oldest;
        }
        if (oldest != null) {
            ping(oldest, out, now);
        }
    }

    private void ping(Known node, List<Sent> out, long now) {
        node.pingSentNanos = now;
        out.add(new Sent(node.member.endpoint(), gossip(node, true, now)));
    }

    private Gossip gossip(Known to, boolean ping, long now) {
        int count = Math.min(Math.max(MIN_ENTRIES, (known.size() + 1) / 10), known.size() - 1);
        List<Entry> entries = new ArrayList<>(count);
        int start = random.nextInt(order.size());
        for (int i = 0; entries.size() < count; i++) {
            Known node = order.get((start + i) % order.size());
            if (node != to) {
                long lastHeardAgo = Math.max(0, (now - node.heardNanos) / SimulatedNetwork.MILLI);
                entries.add(new Entry(node.member, lastHeardAgo, isSuspected(node, now)));
            }
        }
        return new Gossip(self, applied, highestKnown, ping, entries);
    }

    /** Estimates the size of a message in bytes, by the same rules as {@link MessageSizes}. */
    static long sizeOf(Object message) {
        return switch (message) {
            case Gossip gossip ->
                MessageSizes.FRAME_BYTES
                        + MessageSizes.nested(MessageSizes.member(gossip.sender))
                        + MessageSizes.varint(gossip.applied)
                        + MessageSizes.varint(gossip.highestKnown)
                        + 2
                        + gossip.entries.stream()
                                .mapToLong(entry -> MessageSizes.nested(MessageSizes.member(entry.member)
                                        + MessageSizes.varint(entry.heardAgoMillis)
                                        + 2))
                                .sum();
            case Failed failed ->
                MessageSizes.FRAME_BYTES
                        + MessageSizes.nested(MessageSizes.member(failed.sender))
                        + MessageSizes.nested(MessageSizes.member(failed.subject));
            default -> throw new IllegalArgumentException(message.toString());
        };
    }
}
