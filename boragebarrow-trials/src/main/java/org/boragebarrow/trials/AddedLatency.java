package org.boragebarrow.trials;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.google.common.collect.ImmutableListMultimap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.HdrHistogram.Histogram;
import org.boragebarrow.http.client.HttpCall;
import org.boragebarrow.http.client.HttpClient;
import org.boragebarrow.http.client.StreamListener;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.node.Host;
import org.boragebarrow.port.TargetFailure;
import org.boragebarrow.standins.engine.EngineSettings;

/**
 * Measures how much one host adds to the time to the first token, compared with direct calls to the stand-in engine.
 *
 * <p>Sends the same prompt on both paths, alternately and one request at a time, so that both are measured under the
 * same load of the machine.
 */
public final class AddedLatency {
    private static final int WARM_UP_REQUESTS = 2_000;
    private static final int MEASURED_REQUESTS = 5_000;
    private static final int MAX_TOKENS = 4;
    private static final double FAST_PREFILL_TOKENS_PER_SECOND = 10_000_000;
    private static final long MAX_RECORDED_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final double NANOS_PER_MILLI = 1e6;
    private static final String BODY =
            "{\"model\":\"model\",\"prompt\":\"how many gaskets are in stock\",\"max_tokens\":4,\"stream\":true}";

    private final HttpClient client;

    private AddedLatency(HttpClient client) {
        this.client = client;
    }

    /** Runs the measurement and prints the percentiles as a table. */
    public static void main(String[] arguments) {
        EngineSettings fastEngine = EngineSettings.builder()
                .prefillTokensPerSecond(FAST_PREFILL_TOKENS_PER_SECOND)
                .stepBase(Duration.ofNanos(100_000))
                .stepPerSequence(Duration.ZERO)
                .build();
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (Deployment deployment = Deployment.start(new DeploymentSpec(1, 1, 1, fastEngine, 1))) {
            Host host = deployment.hosts().get(0);
            AdminCalls.setAllowance(host, "standard", 1_000_000_000, 1_000);
            AdminCalls.awaitApplied(deployment, AdminCalls.setPlan(host, "workshop", "standard", "workshop-key"));
            Endpoint engine = deployment.engines().values().iterator().next().endpoint();
            new AddedLatency(new HttpClient(group)).measure(host.callerEndpoint(), engine);
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private void measure(Endpoint host, Endpoint engine) {
        Histogram throughHost = new Histogram(MAX_RECORDED_NANOS, 3);
        Histogram direct = new Histogram(MAX_RECORDED_NANOS, 3);
        for (int number = 0; number < WARM_UP_REQUESTS + MEASURED_REQUESTS; number++) {
            long directNanos = firstByteNanos(engine, directCall(number));
            long throughHostNanos = firstByteNanos(host, hostCall());
            if (number >= WARM_UP_REQUESTS) {
                direct.recordValue(directNanos);
                throughHost.recordValue(throughHostNanos);
            }
        }
        System.out.println("| first token, ms | p50 | p99 |");
        System.out.println("|---|---|---|");
        printPercentiles("engine reached directly", direct);
        printPercentiles("through one host", throughHost);
        System.out.printf(
                "| added | %.3f | %.3f |%n",
                (throughHost.getValueAtPercentile(50) - direct.getValueAtPercentile(50)) / NANOS_PER_MILLI,
                (throughHost.getValueAtPercentile(99) - direct.getValueAtPercentile(99)) / NANOS_PER_MILLI);
    }

    private static void printPercentiles(String name, Histogram histogram) {
        System.out.printf(
                "| %s | %.3f | %.3f |%n",
                name,
                histogram.getValueAtPercentile(50) / NANOS_PER_MILLI,
                histogram.getValueAtPercentile(99) / NANOS_PER_MILLI);
    }

    private static HttpCall hostCall() {
        return HttpCall.of("POST", "/v1/completions")
                .withHeaders(ImmutableListMultimap.of("authorization", "Bearer workshop-key"))
                .withBody(body());
    }

    private static HttpCall directCall(int number) {
        ImmutableListMultimap<String, String> headers = ImmutableListMultimap.<String, String>builder()
                .put("request-id", "direct-" + number)
                .put("attempt-id", "direct#1/" + number)
                .put("model", "model")
                .put("prompt-tokens", "8")
                .put("max-tokens", Integer.toString(MAX_TOKENS))
                .put("first-index", "0")
                .put("resume", "false")
                .put("priority", "0")
                .put("remaining-ms", "30000")
                .put("continuation-bytes", "0")
                .build();
        return HttpCall.of("POST", "/v1/sequences").withHeaders(headers).withBody(body());
    }

    private static ByteBuffer body() {
        return ByteBuffer.wrap(BODY.getBytes(StandardCharsets.UTF_8));
    }

    private long firstByteNanos(Endpoint endpoint, HttpCall call) {
        CompletableFuture<Long> firstByte = new CompletableFuture<>();
        CompletableFuture<Void> end = new CompletableFuture<>();
        long startNanos = System.nanoTime();
        client.stream(endpoint, call, new StreamListener() {
            @Override
            public void onHead(int status, ImmutableListMultimap<String, String> headers) {
                if (status != 200) {
                    firstByte.completeExceptionally(new IllegalStateException("status " + status));
                }
            }

            @Override
            public void onBody(ByteBuf part) {
                firstByte.complete(System.nanoTime() - startNanos);
            }

            @Override
            public void onEnd() {
                end.complete(null);
            }

            @Override
            public void onFailure(TargetFailure failure) {
                firstByte.completeExceptionally(new IllegalStateException(failure.message()));
                end.completeExceptionally(new IllegalStateException(failure.message()));
            }
        });
        end.join();
        return firstByte.join();
    }
}
