package org.boragebarrow.peer.link;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.peer.proto.Envelope;

/** Records the messages and events of links. */
final class RecordingListener implements PeerListener {
    private static final long WAIT_SECONDS = 20;

    final BlockingQueue<Envelope> messages = new LinkedBlockingQueue<>();
    final BlockingQueue<HostIncarnation> senders = new LinkedBlockingQueue<>();
    final BlockingQueue<String> rejections = new LinkedBlockingQueue<>();
    final BlockingQueue<Endpoint> failedLinks = new LinkedBlockingQueue<>();

    @Override
    public void onMessage(HostIncarnation sender, Envelope message) {
        senders.add(sender);
        messages.add(message);
    }

    @Override
    public void onLinkDown(Endpoint peer) {
        failedLinks.add(peer);
    }

    @Override
    public void onRejected(String reason) {
        rejections.add(reason);
    }

    static <T> T await(BlockingQueue<T> queue) throws InterruptedException {
        return queue.poll(WAIT_SECONDS, TimeUnit.SECONDS);
    }
}
