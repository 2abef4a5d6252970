package org.boragebarrow.peer.link;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.lifecycle.AfterProperty;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.model.IncarnationNumber;
import org.boragebarrow.peer.proto.Envelope;
import org.boragebarrow.peer.proto.Suspect;

import static com.google.common.truth.Truth.assertThat;

class PeerLinksTest {
    private static final Endpoint ANY_PORT = Endpoint.of("127.0.0.1", 0);
    private static final PeerKey KEY = key("the key of this deployment");
    private static final int MAX_PENDING_MESSAGES = 256;
    private static final long RETRY_INTERVAL_MILLIS = 10;

    private final EventLoopGroup nearLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoopGroup farLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final RecordingListener nearEvents = new RecordingListener();
    private final RecordingListener farEvents = new RecordingListener();
    private final PeerLinks near = PeerLinks.start(identity("near"), KEY, nearEvents, nearLoops, ANY_PORT);
    private final PeerLinks far = PeerLinks.start(identity("far"), KEY, farEvents, farLoops, ANY_PORT);

    @AfterProperty
    void shutDown() {
        near.close();
        far.close();
        nearLoops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        farLoops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private static PeerKey key(String text) {
        return PeerKey.of(text.getBytes(StandardCharsets.UTF_8));
    }

    private static PeerIdentity identity(String host) {
        return new PeerIdentity(
                HostIncarnation.of(HostId.of(host), IncarnationNumber.of(1)), AvailabilityZoneId.of("a"));
    }

    private static Envelope message(int number) {
        Suspect body = Suspect.newBuilder().setRefutations(number).build();
        return Envelope.newBuilder().setSuspect(body).build();
    }

    @Example
    void aFailedLinkIsReopened() throws Exception {
        Endpoint endpoint = far.endpoint();
        near.send(endpoint, message(1));
        assertThat(RecordingListener.await(farEvents.messages)).isEqualTo(message(1));
        far.close();
        assertThat(RecordingListener.await(nearEvents.failedLinks)).isEqualTo(endpoint);
        RecordingListener restartedEvents = new RecordingListener();
        PeerLinks restarted = PeerLinks.start(identity("far"), KEY, restartedEvents, farLoops, endpoint);
        while (restartedEvents.messages.isEmpty()) {
            near.send(endpoint, message(2));
            TimeUnit.MILLISECONDS.sleep(RETRY_INTERVAL_MILLIS);
        }
        assertThat(RecordingListener.await(restartedEvents.messages)).isEqualTo(message(2));
        restarted.close();
    }

    @Example
    void messagesAreQueuedWhileTheLinkOpensAndArriveInOrder() throws Exception {
        for (int number = 0; number < 100; number++) {
            assertThat(near.send(far.endpoint(), message(number))).isTrue();
        }
        for (int number = 0; number < 100; number++) {
            assertThat(RecordingListener.await(farEvents.messages)).isEqualTo(message(number));
        }
        assertThat(farEvents.senders).contains(identity("near").incarnation());
    }

    @Example
    void theQueueOfAnOpeningLinkIsBounded() throws IOException {
        try (ServerSocket unresponsive = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Endpoint endpoint = Endpoint.of("127.0.0.1", unresponsive.getLocalPort());
            for (int number = 0; number < MAX_PENDING_MESSAGES; number++) {
                assertThat(near.send(endpoint, message(number))).isTrue();
            }
            assertThat(near.send(endpoint, message(0))).isFalse();
        }
    }

    /** Guards against hosts that never link again after the key in the store was lost and another one was written. */
    @Example
    void hostsWithTwoKeysLinkOnceAllHaveOneAndTheirOpenLinksStay() throws Exception {
        near.send(far.endpoint(), message(1));
        assertThat(RecordingListener.await(farEvents.messages)).isEqualTo(message(1));
        PeerKey newKey = key("the key that was written later");
        RecordingListener laterEvents = new RecordingListener();
        PeerLinks later = PeerLinks.start(identity("later"), newKey, laterEvents, farLoops, ANY_PORT);
        near.setKey(newKey);
        far.setKey(newKey);

        near.send(later.endpoint(), message(2));
        assertThat(RecordingListener.await(laterEvents.messages)).isEqualTo(message(2));
        later.send(near.endpoint(), message(3));
        assertThat(RecordingListener.await(nearEvents.messages)).isEqualTo(message(3));
        near.send(far.endpoint(), message(4));
        assertThat(RecordingListener.await(farEvents.messages)).isEqualTo(message(4));
        assertThat(nearEvents.failedLinks).isEmpty();
        later.close();
    }

    @Example
    void aHostWithAnotherKeyIsRejectedAndReported() throws Exception {
        RecordingListener otherKeyEvents = new RecordingListener();
        PeerLinks otherKeyHost =
                PeerLinks.start(identity("near"), key("the key of another one"), otherKeyEvents, nearLoops, ANY_PORT);
        otherKeyHost.send(far.endpoint(), message(1));
        assertThat(RecordingListener.await(farEvents.rejections)).contains("wrong peer key");
        assertThat(RecordingListener.await(otherKeyEvents.failedLinks)).isEqualTo(far.endpoint());
        assertThat(farEvents.messages).isEmpty();
        otherKeyHost.close();
    }

    @Example
    void anAcceptingHostWithAnotherKeyReceivesNoMessage() throws Exception {
        RecordingListener otherKeyEvents = new RecordingListener();
        PeerLinks otherKeyHost =
                PeerLinks.start(identity("far"), key("the key of another one"), otherKeyEvents, nearLoops, ANY_PORT);
        near.send(otherKeyHost.endpoint(), message(1));
        assertThat(RecordingListener.await(nearEvents.failedLinks)).isEqualTo(otherKeyHost.endpoint());
        assertThat(otherKeyEvents.messages).isEmpty();
        otherKeyHost.close();
    }

    @Example
    void aMessageBeforeTheHelloIsRejected() throws Exception {
        try (RawPeer peer = new RawPeer(far.endpoint())) {
            peer.send(message(1));
            assertThat(RecordingListener.await(farEvents.rejections)).contains("not a hello");
            assertThat(peer.isClosedByPeer()).isTrue();
            assertThat(farEvents.messages).isEmpty();
        }
    }

    @Example
    void aReplayedHelloIsRejected() throws Exception {
        try (RawPeer first = new RawPeer(far.endpoint());
                RawPeer second = new RawPeer(far.endpoint())) {
            Envelope hello = first.hello(identity("near"), KEY);
            first.send(hello);
            assertThat(first.read().hasWelcome()).isTrue();
            second.send(hello);
            assertThat(RecordingListener.await(farEvents.rejections)).contains("wrong peer key");
            assertThat(second.isClosedByPeer()).isTrue();
        }
    }

    @Example
    void aHelloWithAnAlteredHostIsRejected() throws Exception {
        try (RawPeer peer = new RawPeer(far.endpoint())) {
            Envelope hello = peer.hello(identity("near"), KEY);
            Envelope altered = hello.toBuilder()
                    .setHello(hello.getHello().toBuilder().setHost("other"))
                    .build();
            peer.send(altered);
            assertThat(RecordingListener.await(farEvents.rejections)).contains("wrong peer key");
        }
    }

    private void assertClosesOnlyItsLink(int length, byte[] bytes) throws Exception {
        try (RawPeer peer = new RawPeer(far.endpoint());
                RawPeer other = new RawPeer(far.endpoint())) {
            peer.send(peer.hello(identity("near"), KEY));
            peer.read();
            other.send(other.hello(identity("other"), KEY));
            other.read();
            peer.sendBytes(length, bytes);
            assertThat(RecordingListener.await(farEvents.rejections)).isNotNull();
            assertThat(peer.isClosedByPeer()).isTrue();
            other.send(message(7));
            assertThat(RecordingListener.await(farEvents.messages)).isEqualTo(message(7));
        }
    }

    @Example
    void aFrameThatIsNotAMessageClosesOnlyItsLink() throws Exception {
        assertClosesOnlyItsLink(3, new byte[] {-1, -1, -1});
    }

    @Example
    void anOversizedFrameClosesOnlyItsLink() throws Exception {
        assertClosesOnlyItsLink(Integer.MAX_VALUE, new byte[16]);
    }

    @Example
    void aFrameOfNegativeLengthClosesOnlyItsLink() throws Exception {
        assertClosesOnlyItsLink(-5, new byte[16]);
    }

    @Example
    void aTruncatedFrameIsNotDelivered() throws Exception {
        try (RawPeer peer = new RawPeer(far.endpoint())) {
            peer.send(peer.hello(identity("near"), KEY));
            peer.read();
            peer.sendBytes(1_000, message(1).toByteArray());
            peer.endOutput();
            assertThat(peer.isClosedByPeer()).isTrue();
            assertThat(farEvents.messages).isEmpty();
        }
    }

    @Property(seed = "23", tries = 60)
    void randomBytesDoNotAffectOtherLinks(@ForAll Random random, @ForAll boolean authenticated) throws Exception {
        try (RawPeer peer = new RawPeer(far.endpoint())) {
            if (authenticated) {
                peer.send(peer.hello(identity("other"), KEY));
                peer.read();
            }
            byte[] bytes = new byte[random.nextInt(300)];
            random.nextBytes(bytes);
            peer.sendBytes(random.nextBoolean() ? bytes.length : random.nextInt(), bytes);
            near.send(far.endpoint(), message(9));
            Envelope received = RecordingListener.await(farEvents.messages);
            while (!message(9).equals(received)) {
                assertThat(received).isNotNull();
                received = RecordingListener.await(farEvents.messages);
            }
        }
    }
}
