package org.boragebarrow.http.engine;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.google.common.base.Throwables;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.boragebarrow.http.client.HttpClient;
import org.boragebarrow.http.client.ScriptedServer;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.ModelId;
import org.boragebarrow.model.Target;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.model.TargetKind;
import org.boragebarrow.port.EngineControl;

import static com.google.common.truth.Truth.assertThat;

/** Guards against a late second answer to a poll that is taken for the answer to a command, which has no content. */
class HttpEngineControlTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final AttemptId ATTEMPT = AttemptId.parse("host#1/2");
    private static final String HOLDINGS = "{\"sequences\":[],\"reservations\":[],\"exports\":[]}";

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpClient client = new HttpClient(group);
    private final EngineControl control = new HttpEngineControl(client, TIMEOUT);

    @AfterTry
    void shutDown() {
        client.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    /** A command to an engine that answers polls twice. */
    private interface Command {
        CompletableFuture<?> send(Target engine);
    }

    private String outcome(int status, Command command) throws IOException {
        String poll = "HTTP/1.1 200 OK\r\nContent-Length: " + HOLDINGS.length() + "\r\n\r\n" + HOLDINGS;
        String answer = "HTTP/1.1 " + status + " Any\r\nContent-Length: 0\r\n\r\n";
        try (ScriptedServer server = ScriptedServer.startAnsweringGetTwice(poll, answer)) {
            Target engine = new Target(
                    TargetId.of("e"),
                    TargetKind.ENGINE,
                    AvailabilityZoneId.of("a"),
                    server.endpoint(),
                    Optional.empty(),
                    false);
            control.holdings(engine).join();
            return command.send(engine)
                    .handle((result, failure) -> failure == null
                            ? String.valueOf(result)
                            : Throwables.getRootCause(failure).getMessage())
                    .join();
        }
    }

    @Example
    void aReservationThatFailedIsNotBelievedBecauseOfALateAnswerToAPoll() throws Exception {
        assertThat(outcome(409, engine -> control.reserve(engine, ATTEMPT, 100, TIMEOUT)))
                .isEqualTo("false");
    }

    @Example
    void anOrderWithAnOutdatedFencingNumberIsNotBelievedAcceptedBecauseOfALateAnswerToAPoll() throws Exception {
        EngineControl.Order order = new EngineControl.LoadModel(ModelId.of("m"));

        assertThat(outcome(409, engine -> control.order(engine, order, 3))).isEqualTo("false");
    }

    @Example
    void aCancelThatFailedIsRepeatedDespiteALateAnswerToAPoll() throws Exception {
        assertThat(outcome(503, engine -> control.cancel(engine, ATTEMPT))).endsWith("unexpected status 503");
    }

    @Example
    void aReleaseThatFailedIsRepeatedDespiteALateAnswerToAPoll() throws Exception {
        assertThat(outcome(503, engine -> control.release(engine, ATTEMPT))).endsWith("unexpected status 503");
    }
}
