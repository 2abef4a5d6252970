package org.boragebarrow.standins.engine;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import com.google.common.collect.ImmutableList;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.boragebarrow.http.client.HttpClient;
import org.boragebarrow.http.engine.HttpEngineClient;
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
import org.boragebarrow.port.TargetFailure;

/** Measures the CPU time per token in the stand-in engine and in the client; run manually. */
public final class TokenCostBenchmark {
    private static final int ROUNDS = 3;
    private static final HostIncarnation INCARNATION = HostIncarnation.of(HostId.of("bench"), IncarnationNumber.of(1));
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private TokenCostBenchmark() {}

    /** Measures one stream whose tokens arrive in bulk, then many streams whose tokens arrive one at a time. */
    public static void main(String[] args) throws Exception {
        for (int round = 0; round < ROUNDS; round++) {
            measure("one stream, no pauses", 1, 1_000_000, Duration.ofNanos(1_000));
            measure("256 streams, a step each 2 ms", 256, 2_000, Duration.ofMillis(2));
        }
    }

    private static void measure(String name, int streams, int tokens, Duration step) throws Exception {
        EngineSettings settings = EngineSettings.builder()
                .stepBase(step)
                .stepPerSequence(Duration.ZERO)
                .prefillTokensPerSecond(1e9)
                .batchSlots(streams)
                .capacityTokens(2L * streams * tokens)
                .build();
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoopGroup engines = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        long clientThread = threadIdOf(group);
        long engineThread = threadIdOf(engines);
        try (EngineStandin engine =
                        EngineStandin.start(engines, TargetId.of("e"), Endpoint.of("127.0.0.1", 0), settings, 1);
                HttpClient http = new HttpClient(group)) {
            Target target = target(engine.endpoint());
            EngineClient client = new HttpEngineClient(http);
            CountDownLatch ended = new CountDownLatch(streams);
            long clientCpu = THREADS.getThreadCpuTime(clientThread);
            long engineCpu = THREADS.getThreadCpuTime(engineThread);
            long start = System.nanoTime();
            for (int i = 0; i < streams; i++) {
                client.submit(target, submission(i, tokens), new EndCounter(ended));
            }
            ended.await();
            long count = (long) streams * tokens;
            double seconds = (System.nanoTime() - start) / 1e9;
            System.out.printf(
                    "%s: %d tokens, %.0f tokens/s, client %.2f us/token, engine %.2f us/token%n",
                    name,
                    count,
                    count / seconds,
                    (THREADS.getThreadCpuTime(clientThread) - clientCpu) / 1e3 / count,
                    (THREADS.getThreadCpuTime(engineThread) - engineCpu) / 1e3 / count);
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        engines.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private record EndCounter(CountDownLatch ended) implements EngineClient.Listener {
        @Override
        public void onToken(int index, String text) {}

        @Override
        public void onEnd(int count, int promptTokens, String finishReason) {
            ended.countDown();
        }

        @Override
        public void onFailure(TargetFailure failure) {
            throw new IllegalStateException(failure.toString());
        }
    }

    private static long threadIdOf(EventLoopGroup group) throws Exception {
        return group.next().submit(() -> Thread.currentThread().threadId()).get();
    }

    private static Target target(Endpoint endpoint) {
        return new Target(
                TargetId.of("e"), TargetKind.ENGINE, AvailabilityZoneId.of("a"), endpoint, Optional.empty(), false);
    }

    private static EngineClient.Submission submission(int number, int tokens) {
        return new EngineClient.Submission(
                RequestId.of("r" + number),
                AttemptId.of(INCARNATION, number),
                ModelId.of("model"),
                ImmutableList.of(ByteBuffer.wrap(new byte[100])),
                ByteBuffer.allocate(0),
                25,
                tokens,
                0,
                false,
                0,
                Duration.ofMinutes(5),
                Optional.empty());
    }
}
