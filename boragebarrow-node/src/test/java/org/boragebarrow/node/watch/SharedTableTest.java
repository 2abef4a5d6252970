package org.boragebarrow.node.watch;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import com.google.common.base.Ticker;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.netty.channel.embedded.EmbeddedChannel;
import net.jqwik.api.Example;
import org.boragebarrow.decision.placement.SizedHost;
import org.boragebarrow.decision.watch.WatcherChoice;
import org.boragebarrow.model.HostId;
import org.boragebarrow.peer.proto.Envelope;
import org.boragebarrow.port.StorePosition;
import org.boragebarrow.port.WatchedTable;
import org.boragebarrow.port.WatchedTable.Row;
import org.boragebarrow.port.WatchedTable.VersionedRows;

import static com.google.common.truth.Truth.assertThat;

/** Simulates two hosts of a large zone, the watcher of a table and a host that requests changes from it. */
class SharedTableTest {
    private static final StorePosition AT_FIVE = new StorePosition(0, 5);
    private static final String NAME = "table";
    private static final Duration LONG_WAIT = Duration.ofSeconds(9);
    private static final ImmutableSet<HostId> ZONE =
            IntStream.range(0, 20).mapToObj(i -> HostId.of("host-" + i)).collect(ImmutableSet.toImmutableSet());

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final Map<HostId, TableSharing> sharing = new HashMap<>();
    private final FakeStore watcherStore = new FakeStore();
    private final FakeStore followerStore = new FakeStore();
    private final HostId watcherHost = watcherOf(ZONE);
    private final HostId followerHost =
            ZONE.stream().filter(host -> !host.equals(watcherHost)).findFirst().orElseThrow();
    private final SharedTable watcher;
    private final SharedTable follower;
    private final List<HostId> excluded = new ArrayList<>();
    private final List<Long> acceptedBytes = new ArrayList<>();
    private long delayMillis;
    private boolean partitioned;
    private long now = TimeUnit.SECONDS.toNanos(100);

    SharedTableTest() {
        channel.freezeTime();
        watcher = table(watcherHost, watcherStore);
        follower = table(followerHost, followerStore);
        read(watcher, watcherStore, 5);
        read(follower, followerStore, 5);
    }

    private static HostId watcherOf(ImmutableSet<HostId> zone) {
        WatcherChoice choice = new WatcherChoice(HostId.of("outside"), NAME);
        choice.setHosts(sized(zone));
        return choice.select(0).orElseThrow();
    }

    private static ImmutableList<SizedHost> sized(ImmutableSet<HostId> zone) {
        return zone.stream().map(host -> new SizedHost(host, 100)).collect(ImmutableList.toImmutableList());
    }

    private SharedTable table(HostId self, FakeStore store) {
        Ticker ticker = new Ticker() {
            @Override
            public long read() {
                return now;
            }
        };
        SharedTable.Peers peers = new SharedTable.Peers() {
            @Override
            public void send(HostId host, Envelope message) {
                deliver(self, host, message);
            }

            @Override
            public void onChangesAccepted(HostId host, VersionedRows changes, Duration elapsed, Duration age) {
                acceptedBytes.add(changes.bytes());
            }

            @Override
            public void onPeerExcluded(HostId host, Duration elapsed, String reason) {
                excluded.add(host);
            }
        };
        SharedTable table = new SharedTable(store, self, channel.eventLoop(), ticker, peers);
        TableSharing shared = new TableSharing(ImmutableList.of(table));
        shared.setHosts(sized(ZONE));
        sharing.put(self, shared);
        return table;
    }

    private void deliver(HostId from, HostId to, Envelope message) {
        TableSharing recipient = sharing.get(to);
        if (recipient == null || partitioned) {
            return;
        }
        channel.eventLoop().schedule(() -> recipient.receive(from, message), delayMillis, TimeUnit.MILLISECONDS);
    }

    private void read(SharedTable table, FakeStore store, long version) {
        CompletableFuture<VersionedRows> result = table.read();
        store.answer(rowsAt(version));
        runTasks();
        assertThat(result.isDone()).isTrue();
    }

    private static VersionedRows rowsAt(long version, Row... rows) {
        return new VersionedRows(ImmutableList.copyOf(rows), version);
    }

    private void runTasks() {
        for (int i = 0; i < 10; i++) {
            channel.runPendingTasks();
            channel.runScheduledPendingTasks();
        }
    }

    private void advance(long millis) {
        for (long passed = 0; passed < millis; passed += 10) {
            now += TimeUnit.MILLISECONDS.toNanos(10);
            channel.advanceTimeBy(10, TimeUnit.MILLISECONDS);
            runTasks();
        }
    }

    @Example
    void aHostThatReceivesChangesFromTheWatcherDoesNotQueryTheStore() {
        CompletableFuture<VersionedRows> changes = follower.changes(AT_FIVE, LONG_WAIT);
        runTasks();
        assertThat(changes.isDone()).isFalse();
        CompletableFuture<VersionedRows> watcherChanges = watcher.changes(AT_FIVE, LONG_WAIT);
        watcherStore.answer(rowsAt(7, new Row("a", new byte[9], 7, false)));
        runTasks();

        assertThat(watcherChanges.join().version()).isEqualTo(7);
        assertThat(changes.join().rows()).hasSize(1);
        assertThat(acceptedBytes).containsExactly(10L);
        assertThat(followerStore.calls).isEmpty();
    }

    @Example
    void changesTooLargeForPeersAreReadFromTheStore() {
        CompletableFuture<VersionedRows> changes = follower.changes(AT_FIVE, LONG_WAIT);
        runTasks();
        watcher.changes(AT_FIVE, LONG_WAIT);
        Row large = new Row("a", new byte[(int) SharedTable.MAX_SENT_BYTES], 7, false);
        watcherStore.answer(rowsAt(7, large));
        runTasks();
        assertThat(acceptedBytes).isEmpty();
        followerStore.answer(rowsAt(7, large));
        runTasks();

        assertThat(changes.join().rows()).containsExactly(large);
        assertThat(excluded).isEmpty();
    }

    @Example
    void theWatcherPollsTheStoreWithShortWaits() {
        follower.changes(AT_FIVE, LONG_WAIT);
        runTasks();
        watcher.changes(AT_FIVE, LONG_WAIT);

        assertThat(watcherStore.waits.getLast()).isEqualTo(SharedTable.WATCHER_WAIT);
    }

    @Example
    void staleStateIsConfirmedBeforeItIsSent() {
        advance(5_000);
        CompletableFuture<VersionedRows> changes = follower.changes(AT_FIVE, LONG_WAIT);
        runTasks();
        assertThat(watcherStore.waits).containsExactly(Duration.ZERO);
        watcherStore.answer(rowsAt(9, new Row("a", new byte[0], 9, true)));
        runTasks();

        assertThat(changes.join().version()).isEqualTo(9);
        assertThat(followerStore.calls).isEmpty();
    }

    @Example
    void theStoreIsQueriedOnceTheWatcherTimesOut() {
        partitioned = true;
        CompletableFuture<VersionedRows> changes = follower.changes(AT_FIVE, LONG_WAIT);
        advance(SharedTable.PEER_WAIT.plus(SharedTable.ANSWER_SLACK).toMillis());
        followerStore.answer(rowsAt(6));
        runTasks();

        assertThat(changes.join().version()).isEqualTo(6);
        assertThat(followerStore.waits).containsExactly(LONG_WAIT);
        assertThat(excluded).containsExactly(watcherHost);
    }

    @Example
    void theStoreIsQueriedIfItFailsForTheWatcher() {
        advance(5_000);
        CompletableFuture<VersionedRows> changes = follower.changes(AT_FIVE, LONG_WAIT);
        runTasks();
        for (int i = 0; i < 3; i++) {
            watcherStore.fail();
            advance(400);
        }
        followerStore.answer(rowsAt(8));
        runTasks();

        assertThat(changes.join().version()).isEqualTo(8);
    }

    @Example
    void theWatcherQueriesAPeerWhileTheStoreFailsForIt() {
        watcher.changes(AT_FIVE, LONG_WAIT);
        watcherStore.fail(new IOException("connection refused"));
        runTasks();
        watcher.changes(AT_FIVE, LONG_WAIT);
        runTasks();

        assertThat(watcherStore.calls).isEmpty();
        advance(SharedTable.PEER_WAIT.plus(SharedTable.ANSWER_SLACK).toMillis());
        assertThat(watcherStore.calls).hasSize(1);
    }

    @Example
    void aHostWhoseStoreLostItsHistoryStillQueriesTheStore() {
        watcher.changes(AT_FIVE, LONG_WAIT);
        watcherStore.fail(new WatchedTable.HistoryLostException("compacted"));
        runTasks();
        watcher.changes(AT_FIVE, LONG_WAIT);
        runTasks();

        assertThat(watcherStore.calls).hasSize(1);
    }

    @Example
    void aDelayedAnswerIsNotAcceptedAsFresh() {
        // The request arrives without delay; its answer is delayed by the maximum age of an accepted answer.
        CompletableFuture<VersionedRows> changes = follower.changes(AT_FIVE, LONG_WAIT);
        runTasks();
        advance(400);
        delayMillis = SharedTable.MAX_AGE.toMillis();
        watcher.changes(AT_FIVE, LONG_WAIT);
        watcherStore.answer(rowsAt(6));
        advance(1_200);

        assertThat(followerStore.calls).hasSize(1);
        followerStore.answer(rowsAt(8));
        runTasks();
        assertThat(changes.join().version()).isEqualTo(8);
    }

    private static VersionedRows rowsOfEra(long era, long version, Row... rows) {
        return new VersionedRows(ImmutableList.copyOf(rows), new StorePosition(era, version));
    }

    private void readEra(SharedTable table, FakeStore store, long era, long version) {
        CompletableFuture<VersionedRows> result = table.read();
        store.answer(rowsOfEra(era, version));
        runTasks();
        assertThat(result.isDone()).isTrue();
    }

    /** Guards against changes that are sent from one side of a restored store to the other. */
    @Example
    void aHostOfAnEarlierEraQueriesTheStoreInsteadOfGettingChanges() {
        readEra(watcher, watcherStore, 1, 3);
        CompletableFuture<VersionedRows> changes = follower.changes(AT_FIVE, LONG_WAIT);
        runTasks();

        assertThat(changes.isDone()).isFalse();
        assertThat(followerStore.calls).hasSize(1);
        assertThat(acceptedBytes).isEmpty();
    }

    @Example
    void aHostOfALaterEraGetsNothingOfTheEarlierOne() {
        readEra(follower, followerStore, 1, 3);
        CompletableFuture<VersionedRows> changes = follower.changes(new StorePosition(1, 3), LONG_WAIT);
        runTasks();
        watcher.changes(AT_FIVE, LONG_WAIT);
        watcherStore.answer(rowsAt(7, new Row("a", new byte[9], 7, false)));
        runTasks();

        assertThat(changes.isDone()).isFalse();
        assertThat(followerStore.calls).hasSize(1);
    }

    @Example
    void hostsThatHaveBothReadTheNewEraShareItsChanges() {
        readEra(watcher, watcherStore, 1, 3);
        readEra(follower, followerStore, 1, 3);
        CompletableFuture<VersionedRows> changes = follower.changes(new StorePosition(1, 3), LONG_WAIT);
        runTasks();
        watcher.changes(new StorePosition(1, 3), LONG_WAIT);
        Row row = new Row("a", new byte[9], new StorePosition(1, 4), false);
        watcherStore.answer(rowsOfEra(1, 4, row));
        runTasks();

        assertThat(changes.join().position()).isEqualTo(new StorePosition(1, 4));
        assertThat(changes.join().rows().get(0).position()).isEqualTo(row.position());
        assertThat(followerStore.calls).isEmpty();
    }

    private static final class FakeStore implements WatchedTable {
        private final Deque<CompletableFuture<VersionedRows>> calls = new ArrayDeque<>();
        private final Deque<Duration> waits = new ArrayDeque<>();

        void answer(VersionedRows rows) {
            calls.remove().complete(rows);
        }

        void fail() {
            if (!calls.isEmpty()) {
                fail(new IOException("connection refused"));
            }
        }

        void fail(Exception failure) {
            calls.remove().completeExceptionally(failure);
        }

        @Override
        public String name() {
            return NAME;
        }

        @Override
        public CompletableFuture<VersionedRows> read() {
            return call();
        }

        @Override
        public CompletableFuture<VersionedRows> changes(StorePosition after, Duration wait) {
            waits.add(wait);
            return call();
        }

        private CompletableFuture<VersionedRows> call() {
            CompletableFuture<VersionedRows> answer = new CompletableFuture<>();
            calls.add(answer);
            return answer;
        }

        @Override
        public CompletableFuture<Boolean> put(String key, byte[] value, Optional<StorePosition> expected) {
            return CompletableFuture.completedFuture(true);
        }
    }
}
