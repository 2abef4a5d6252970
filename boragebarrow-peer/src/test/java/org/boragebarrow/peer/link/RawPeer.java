package org.boragebarrow.peer.link;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;

import com.google.protobuf.ByteString;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.peer.proto.Envelope;
import org.boragebarrow.peer.proto.Hello;

/** A raw connection to a host, which can send malformed frames and messages out of order. */
final class RawPeer implements AutoCloseable {
    private static final int READ_TIMEOUT_MILLIS = 20_000;

    private final Socket socket;
    private final DataOutputStream out;
    private final DataInputStream in;
    private final byte[] challenge;

    RawPeer(Endpoint endpoint) throws IOException {
        socket = new Socket(endpoint.address(), endpoint.port());
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        out = new DataOutputStream(socket.getOutputStream());
        in = new DataInputStream(socket.getInputStream());
        challenge = read().getChallenge().getNonce().toByteArray();
    }

    Envelope hello(PeerIdentity identity, PeerKey key) {
        byte[] nonce = PeerKey.newNonce();
        Hello hello = Hello.newBuilder()
                .setHost(identity.incarnation().host().value())
                .setIncarnation(identity.incarnation().number().value())
                .setZone(identity.zone().value())
                .setNonce(ByteString.copyFrom(nonce))
                .setMac(ByteString.copyFrom(
                        key.sign(AcceptHandler.HELLO_PURPOSE, challenge, nonce, identity.signedForm())))
                .build();
        return Envelope.newBuilder().setHello(hello).build();
    }

    void send(Envelope message) throws IOException {
        byte[] bytes = message.toByteArray();
        out.writeInt(bytes.length);
        out.write(bytes);
    }

    void sendBytes(int length, byte[] bytes) throws IOException {
        out.write(ByteBuffer.allocate(Integer.BYTES + bytes.length)
                .putInt(length)
                .put(bytes)
                .array());
    }

    void endOutput() throws IOException {
        socket.shutdownOutput();
    }

    Envelope read() throws IOException {
        byte[] bytes = new byte[in.readInt()];
        in.readFully(bytes);
        return Envelope.parseFrom(bytes);
    }

    boolean isClosedByPeer() {
        try {
            return in.read() < 0;
        } catch (SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
