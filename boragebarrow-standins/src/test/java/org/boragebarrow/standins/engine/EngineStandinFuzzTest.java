package org.boragebarrow.standins.engine;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.google.common.collect.ImmutableList;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.boragebarrow.http.client.HttpClient;
import org.boragebarrow.http.engine.HttpEngineClient;
import org.boragebarrow.http.engine.HttpEngineControl;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.model.IncarnationNumber;
import org.boragebarrow.model.ModelId;
import org.boragebarrow.model.RequestId;
import org.boragebarrow.model.Target;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.model.TargetKind;
import org.boragebarrow.port.EngineClient;
import org.boragebarrow.port.EngineControl;

import static com.google.common.truth.Truth.assertThat;

class EngineStandinFuzzTest {
    private static final HostIncarnation INCARNATION = HostIncarnation.of(HostId.of("host"), IncarnationNumber.of(1));
    private static final Duration MINUTE = Duration.ofMinutes(1);
    private static final int CALLS = 60;
    private static final EngineSettings SETTINGS = EngineSettings.builder()
            .stepBase(Duration.ofMillis(1))
            .stepPerSequence(Duration.ZERO)
            .capacityTokens(5_000)
            .batchSlots(4)
            .build();

    private record StartedSequence(AttemptId attempt, byte[] body, int maxTokens, RecordingListener listener) {
        void checkOutcome() {
            RecordingListener.Outcome outcome = listener.outcome();
            String complete = TokenTexts.completeText(TokenTexts.bodyHash(body), maxTokens);
            assertThat(complete).startsWith(outcome.text());
            if (outcome.failure().isEmpty()) {
                assertThat(outcome.text()).isEqualTo(complete);
            }
        }
    }

    @Property(seed = "20261204", tries = 8)
    void answersAreCorrectAndNoMemoryIsHeldAfterAnyMixOfFaults(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
        try (EngineStandin engine =
                        EngineStandin.start(group, TargetId.of("e"), Endpoint.of("127.0.0.1", 0), SETTINGS, seed);
                HttpClient http = new HttpClient(group)) {
            Target target = target(engine.endpoint());
            EngineControl control = new HttpEngineControl(http, MINUTE);
            List<StartedSequence> started = callAtRandom(engine, target, http, random);
            engine.setFaults(EngineFaults.none());
            // Sequences that wait for memory held by reservations cannot end until these are released.
            for (int i = 0; i < CALLS; i++) {
                control.release(target, AttemptId.of(INCARNATION, i)).join();
            }
            started.forEach(StartedSequence::checkOutcome);
            for (StartedSequence sequence : started) {
                control.cancel(target, sequence.attempt).join();
            }
            assertThat(control.holdings(target).join().sequences()).isEmpty();
            assertThat(control.holdings(target).join().reservations()).isEmpty();
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        }
    }

    private static List<StartedSequence> callAtRandom(
            EngineStandin engine, Target target, HttpClient http, SplittableRandom random) {
        EngineClient client = new HttpEngineClient(http);
        EngineControl control = new HttpEngineControl(http, MINUTE);
        List<StartedSequence> started = new ArrayList<>();
        List<CompletableFuture<?>> calls = new ArrayList<>();
        for (int i = 0; i < CALLS; i++) {
            AttemptId attempt = AttemptId.of(INCARNATION, random.nextInt(1 + started.size()));
            switch (random.nextInt(8)) {
                case 0 -> calls.add(control.cancel(target, attempt));
                case 1 -> calls.add(control.reserve(target, attempt, 1 + random.nextInt(2_000), MINUTE));
                case 2 ->
                    engine.setFaults(new EngineFaults(
                            1, random.nextInt(4) == 0, false, false, false, random.nextInt(40), random.nextInt(200)));
                default -> started.add(submit(client, target, started.size(), 1 + random.nextInt(60)));
            }
        }
        calls.forEach(CompletableFuture::join);
        return started;
    }

    private static StartedSequence submit(EngineClient client, Target target, int number, int maxTokens) {
        byte[] body = ("body " + number).repeat(1 + number % 50).getBytes(StandardCharsets.UTF_8);
        AttemptId attempt = AttemptId.of(INCARNATION, number);
        RecordingListener listener = new RecordingListener();
        client.submit(
                target,
                new EngineClient.Submission(
                        RequestId.of("r" + number),
                        attempt,
                        ModelId.of("model"),
                        ImmutableList.of(ByteBuffer.wrap(body)),
                        ByteBuffer.allocate(0),
                        body.length,
                        maxTokens,
                        0,
                        false,
                        number % 3,
                        MINUTE,
                        Optional.empty()),
                listener);
        return new StartedSequence(attempt, body, maxTokens, listener);
    }

    private static Target target(Endpoint endpoint) {
        return new Target(
                TargetId.of("e"), TargetKind.ENGINE, AvailabilityZoneId.of("a"), endpoint, Optional.empty(), false);
    }
}
