package org.boragebarrow.node.target;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.boragebarrow.model.Endpoint;

import static com.google.common.truth.Truth.assertThat;

class ConnectProbeTest {
    private static EventLoopGroup loops;

    @BeforeContainer
    static void start() {
        loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    }

    @AfterContainer
    static void stop() {
        loops.shutdownGracefully();
    }

    @Example
    void aListeningServiceCanBeProbedRepeatedly() throws IOException {
        ConnectProbe probe = new ConnectProbe(loops);
        try (ServerSocket service = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
            Endpoint endpoint = Endpoint.of("127.0.0.1", service.getLocalPort());
            probe.probe(endpoint).join();
            probe.probe(endpoint).join();
            probe.probe(endpoint).join();
        }
    }

    @Example
    void aClosedPortIsNotReachable() throws IOException {
        int port;
        try (ServerSocket service = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
            port = service.getLocalPort();
        }
        boolean failed = new ConnectProbe(loops)
                .probe(Endpoint.of("127.0.0.1", port))
                .handle((done, failure) -> failure != null)
                .join();
        assertThat(failed).isTrue();
    }
}
