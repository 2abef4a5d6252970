package org.boragebarrow.decision.member;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import org.boragebarrow.decision.member.SimulatedNetwork.OutboundMessage;
import org.boragebarrow.model.Endpoint;

/**
 * The baseline of the measurements: flat gossip as in "gossip (Redis Cluster internals)".
 *
 * <p>Each second a node pings that one of five random nodes with the oldest contact, and each node from which it has
 * received nothing for half the timeout. A ping is answered by a pong; both carry the entries of a tenth of the
 * nodes, at least three, chosen at random. A node that is unresponsive for the timeout is marked as failed once a
 * majority suspects it; the first node that observes the majority broadcasts the failure.
 */
final class FlatGossip implements SimulatedNetwork.Node {
    private static final int MIN_ENTRIES = 3;
    private static final int PING_SAMPLE_SIZE = 5;
    private static final long SECOND_NANOS = 1_000 * SimulatedNetwork.MILLI;

    /** The state of a node other than the sender, as carried by a message. */
    record Entry(Member member, long sinceContactMillis, boolean suspected) {}

    /** A ping or a pong. */
    record Gossip(Member sender, long applied, long highestKnown, boolean ping, List<Entry> entries) {}

    /** Reports that a majority suspects the node, so that it is marked as failed. */
    record Failed(Member sender, Member subject) {}

    private static final class KnownNode {
        final Member member;
        final Map<Endpoint, Long> failureReports = new HashMap<>();
        long lastContactNanos;
        long pingSentNanos = -1;
        boolean failed;

        KnownNode(Member member, long lastContactNanos) {
            this.member = member;
            this.lastContactNanos = lastContactNanos;
        }
    }

    private final Member self;
    private final long timeoutNanos;
    private final SplittableRandom random;
    private final Map<Endpoint, KnownNode> knownNodes = new HashMap<>();
    private final List<KnownNode> order = new ArrayList<>();
    private long nextRandomPingNanos;
    long applied;
    long highestKnown;

    FlatGossip(Member self, long timeoutNanos, long seed) {
        this.self = self;
        this.timeoutNanos = timeoutNanos;
        this.random = new SplittableRandom(seed);
    }

    void addNode(Member member, long now) {
        if (!member.equals(self) && !knownNodes.containsKey(member.endpoint())) {
            KnownNode node = new KnownNode(member, now - random.nextLong(timeoutNanos / 2));
            knownNodes.put(member.endpoint(), node);
            order.add(node);
        }
    }

    boolean isMarkedFailed(Endpoint endpoint) {
        return knownNodes.get(endpoint).failed;
    }

    @Override
    public List<OutboundMessage> receive(Object message, long now) {
        List<OutboundMessage> out = new ArrayList<>();
        switch (message) {
            case Gossip gossip -> receiveGossip(gossip, out, now);
            case Failed failed -> {
                KnownNode subject = knownNodes.get(failed.subject.endpoint());
                if (subject != null) {
                    subject.failed = true;
                }
            }
            default -> throw new IllegalArgumentException(message.toString());
        }
        return out;
    }

    private void receiveGossip(Gossip gossip, List<OutboundMessage> out, long now) {
        highestKnown = Math.max(highestKnown, gossip.highestKnown);
        addNode(gossip.sender, now);
        KnownNode sender = knownNodes.get(gossip.sender.endpoint());
        sender.failed = false;
        sender.failureReports.clear();
        if (gossip.ping) {
            out.add(new OutboundMessage(gossip.sender.endpoint(), gossip(sender, false, now)));
        } else {
            sender.lastContactNanos = now;
            sender.pingSentNanos = -1;
        }
        for (Entry entry : gossip.entries) {
            if (!entry.member.endpoint().equals(self.endpoint())) {
                addNode(entry.member, now);
                merge(knownNodes.get(entry.member.endpoint()), entry, gossip.sender.endpoint(), out, now);
            }
        }
    }

    private void merge(KnownNode subject, Entry entry, Endpoint reporter, List<OutboundMessage> out, long now) {
        if (!entry.suspected) {
            subject.failureReports.remove(reporter);
            long lastContact = now - entry.sinceContactMillis * SimulatedNetwork.MILLI;
            if (subject.pingSentNanos < 0 && subject.failureReports.isEmpty()) {
                subject.lastContactNanos = Math.max(subject.lastContactNanos, lastContact);
            }
            return;
        }
        subject.failureReports.put(reporter, now);
        checkFailureReports(subject, out, now);
    }

    private void checkFailureReports(KnownNode subject, List<OutboundMessage> out, long now) {
        subject.failureReports.values().removeIf(reportedNanos -> now - reportedNanos > 2 * timeoutNanos);
        boolean majority = subject.failureReports.size() + 1 > (knownNodes.size() + 1) / 2;
        if (!subject.failed && isSuspected(subject, now) && majority) {
            subject.failed = true;
            for (KnownNode node : order) {
                out.add(new OutboundMessage(node.member.endpoint(), new Failed(self, subject.member)));
            }
        }
    }

    private boolean isSuspected(KnownNode node, long now) {
        return node.pingSentNanos >= 0 && now - node.pingSentNanos > timeoutNanos;
    }

    @Override
    public List<OutboundMessage> tick(long now) {
        List<OutboundMessage> out = new ArrayList<>();
        if (now - nextRandomPingNanos >= 0) {
            nextRandomPingNanos = now + SECOND_NANOS;
            pingOldestContact(out, now);
        }
        for (KnownNode node : order) {
            if (node.pingSentNanos < 0 && now - node.lastContactNanos > timeoutNanos / 2) {
                ping(node, out, now);
            }
            if (isSuspected(node, now)) {
                checkFailureReports(node, out, now);
            }
        }
        return out;
    }

    private void pingOldestContact(List<OutboundMessage> out, long now) {
        KnownNode oldest = null;
        for (int i = 0; i < PING_SAMPLE_SIZE && !order.isEmpty(); i++) {
            KnownNode node = order.get(random.nextInt(order.size()));
            boolean isOlder =
                    node.pingSentNanos < 0 && (oldest == null || node.lastContactNanos < oldest.lastContactNanos);
            oldest = isOlder ? node : oldest;
        }
        if (oldest != null) {
            ping(oldest, out, now);
        }
    }

    private void ping(KnownNode node, List<OutboundMessage> out, long now) {
        node.pingSentNanos = now;
        out.add(new OutboundMessage(node.member.endpoint(), gossip(node, true, now)));
    }

    private Gossip gossip(KnownNode to, boolean ping, long now) {
        int count = Math.min(Math.max(MIN_ENTRIES, (knownNodes.size() + 1) / 10), knownNodes.size() - 1);
        List<Entry> entries = new ArrayList<>(count);
        int start = random.nextInt(order.size());
        for (int i = 0; entries.size() < count; i++) {
            KnownNode node = order.get((start + i) % order.size());
            if (node != to) {
                long sinceContact = Math.max(0, (now - node.lastContactNanos) / SimulatedNetwork.MILLI);
                entries.add(new Entry(node.member, sinceContact, isSuspected(node, now)));
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
                                        + MessageSizes.varint(entry.sinceContactMillis)
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
