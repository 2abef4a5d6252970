package org.boragebarrow.node.relay;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import io.netty.channel.embedded.EmbeddedChannel;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.boragebarrow.decision.fleet.FleetTarget;
import org.boragebarrow.decision.routing.RoutingTable;
import org.boragebarrow.decision.watch.StoreEras;
import org.boragebarrow.model.IncarnationNumber;
import org.boragebarrow.model.PromptParts;
import org.boragebarrow.node.settings.RelaySettings;
import org.boragebarrow.port.StorePosition;
import org.boragebarrow.port.WatchedTable;

import static com.google.common.truth.Truth.assertThat;

/** Starts a host whose reads of the store the test answers. */
class HostStartTest {
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final List<CompletableFuture<WatchedTable.VersionedRows>> reads = new ArrayList<>();
    private final DecisionLog log =
            new DecisionLog(new PrintStream(OutputStream.nullOutputStream(), false, StandardCharsets.UTF_8));
    private final RelayHost host = new RelayHost(
            RelaySettings.parse("""
            [host]
            id = host
            zone = zone
            [callers]
            endpoint = 127.0.0.1:1
            [readiness]
            endpoint = 127.0.0.1:2
            [metrics]
            endpoint = 127.0.0.1:3
            [peers]
            endpoint = 127.0.0.1:4
            [store]
            endpoint = 127.0.0.1:5
            """),
            IncarnationNumber.of(1),
            channel.eventLoop(),
            new Random(1),
            new RelayFixture.FakeCalls(),
            new RelayHost.Tables(
                    new PendingTable("routing"),
                    new PendingTable("fleet"),
                    new PendingTable("hosts"),
                    new NoDecoders(),
                    new StoreEras()),
            log);

    HostStartTest() {
        channel.freezeTime();
        host.start();
        channel.runPendingTasks();
    }

    @AfterTry
    void close() {
        host.close();
        log.close();
        channel.close();
    }

    private RelayFixture.FakeResponse send() {
        RelayFixture.FakeResponse response = new RelayFixture.FakeResponse(channel.eventLoop());
        host.accept(
                new RelayRequest(
                        "POST",
                        "/a/b",
                        "shop",
                        "request",
                        Optional.of(Duration.ofSeconds(4)),
                        Optional.empty(),
                        Optional.empty(),
                        PromptParts.of(ImmutableList.of()),
                        OptionalLong.empty(),
                        ImmutableListMultimap.of(),
                        ImmutableList.of()),
                response);
        channel.runPendingTasks();
        return response;
    }

    @Example
    void aRequestWaitsForTheFirstReadsOfAllTables() {
        RelayFixture.FakeResponse response = send();
        WatchedTable.VersionedRows none = new WatchedTable.VersionedRows(ImmutableList.of(), 1);
        reads.get(0).complete(none);
        reads.get(1).complete(none);
        channel.runPendingTasks();
        assertThat(response.status).isEqualTo(0);
        reads.get(2).complete(none);
        channel.runPendingTasks();

        // The operator has written no configuration.
        assertThat(response.status).isEqualTo(503);
        assertThat(send().status).isEqualTo(503);
    }

    @Example
    void aRequestThatTheFirstReadsDoNotReachInTimeIsRefusedAsNotRun() {
        RelayFixture.FakeResponse response = send();
        channel.advanceTimeBy(EarlyRequests.MAX_WAIT.toMillis(), TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();

        assertThat(response.status).isEqualTo(503);
        assertThat(response.body.toString()).contains("NOT_READY");
    }

    @Example
    void requestsAreRefusedAtOnceWhenTheStoreFails() {
        RelayFixture.FakeResponse response = send();
        reads.get(1).completeExceptionally(new IOException("connection refused"));
        channel.runPendingTasks();

        assertThat(response.status).isEqualTo(503);
        assertThat(send().status).isEqualTo(503);
    }

    private final class PendingTable implements WatchedTable {
        private final String name;

        PendingTable(String name) {
            this.name = name;
        }

        @Override
        public String name() {
            return name;
        }

        @Override
        public CompletableFuture<VersionedRows> read() {
            CompletableFuture<VersionedRows> answer = new CompletableFuture<>();
            reads.add(answer);
            return answer;
        }

        @Override
        public CompletableFuture<VersionedRows> changes(StorePosition after, Duration wait) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<Boolean> put(String key, byte[] value, Optional<StorePosition> expected) {
            return new CompletableFuture<>();
        }
    }

    private static final class NoDecoders implements Decoders {
        @Override
        public Optional<RoutingTable> routing(WatchedTable.Row row) {
            return Optional.empty();
        }

        @Override
        public FleetTarget target(WatchedTable.Row row) {
            throw new IllegalArgumentException("no targets are expected");
        }
    }
}
