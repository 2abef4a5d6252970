package org.boragebarrow.node.watch;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.google.common.collect.ImmutableList;
import io.netty.channel.embedded.EmbeddedChannel;
import net.jqwik.api.Example;
import org.boragebarrow.decision.retry.Backoff;
import org.boragebarrow.port.StorePosition;
import org.boragebarrow.port.WatchedTable;

import static com.google.common.truth.Truth.assertThat;

class TableFollowerTest {
    private static final TableFollower.PollTiming POLL_TIMING =
            new TableFollower.PollTiming(Duration.ofSeconds(9), Duration.ofMillis(500));

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final FakeTable table = new FakeTable();
    private final List<String> notifications = new ArrayList<>();
    private final TableFollower follower;
    private boolean listenerFails;

    TableFollowerTest() {
        channel.freezeTime();
        Backoff backoff = new Backoff(Duration.ofMillis(10), Duration.ofMillis(80), new Random(1));
        follower = new TableFollower(channel.eventLoop(), table, backoff, POLL_TIMING, new Listener());
        follower.start();
    }

    private static WatchedTable.VersionedRows rowsAt(long version) {
        return new WatchedTable.VersionedRows(ImmutableList.of(), version);
    }

    private void answer(long version) {
        table.calls.poll().complete(rowsAt(version));
        channel.runPendingTasks();
    }

    private void fail(Exception failure) {
        table.calls.poll().completeExceptionally(failure);
        channel.runPendingTasks();
        channel.advanceTimeBy(100, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
    }

    @Example
    void theTableIsReadOnceAndThenPolledForChanges() {
        answer(5);
        answer(8);

        assertThat(table.requests).containsExactly("read", "after 5", "after 8").inOrder();
        assertThat(notifications).containsExactly("reading 5", "changes 8").inOrder();
        assertThat(table.waits).containsExactly(POLL_TIMING.maxWait(), POLL_TIMING.maxWait());
    }

    @Example
    void changesInQuickSuccessionAreReadInOneCall() {
        WatchedTable.Row row = new WatchedTable.Row("key", new byte[0], 5, false);
        table.calls.poll().complete(new WatchedTable.VersionedRows(ImmutableList.of(row), 5));
        channel.runPendingTasks();
        assertThat(table.requests).containsExactly("read");
        channel.advanceTimeBy(500, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();

        assertThat(table.requests).containsExactly("read", "after 5").inOrder();
    }

    @Example
    void aLongerDelayAfterChangesAppliesUntilItIsReplaced() {
        WatchedTable.Row row = new WatchedTable.Row("key", new byte[0], 5, false);
        follower.setDelayAfterChanges(Duration.ofSeconds(1));
        table.calls.poll().complete(new WatchedTable.VersionedRows(ImmutableList.of(row), 5));
        channel.runPendingTasks();
        channel.advanceTimeBy(900, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
        assertThat(table.requests).containsExactly("read");
        channel.advanceTimeBy(100, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
        assertThat(table.requests).containsExactly("read", "after 5").inOrder();
        follower.setDelayAfterChanges(POLL_TIMING.delayAfterChanges());
        table.calls.poll().complete(new WatchedTable.VersionedRows(ImmutableList.of(row), 6));
        channel.runPendingTasks();
        channel.advanceTimeBy(500, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();

        assertThat(table.requests).containsExactly("read", "after 5", "after 6").inOrder();
    }

    @Example
    void anOutageIsReportedOnceAndPollingResumesFromTheLastVersion() {
        answer(5);
        fail(new IOException("down"));
        fail(new IOException("down"));
        answer(6);

        assertThat(table.requests)
                .containsExactly("read", "after 5", "after 5", "after 5", "after 6")
                .inOrder();
        assertThat(notifications)
                .containsExactly("reading 5", "lost", "regained", "changes 6")
                .inOrder();
    }

    @Example
    void aLostHistoryCausesAFullRead() {
        answer(5);
        fail(new WatchedTable.HistoryLostException("compacted"));
        answer(9);

        assertThat(table.requests)
                .containsExactly("read", "after 5", "read", "after 9")
                .inOrder();
        assertThat(notifications).containsExactly("reading 5", "reading 9").inOrder();
    }

    @Example
    void aFullReadOfAnOlderVersionIsRejectedAndRepeated() {
        answer(9);
        fail(new WatchedTable.HistoryLostException("compacted"));
        answer(4);
        channel.advanceTimeBy(100, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
        answer(10);

        assertThat(table.requests)
                .containsExactly("read", "after 9", "read", "read", "after 10")
                .inOrder();
        assertThat(notifications)
                .containsExactly("reading 9", "lost", "regained", "reading 10")
                .inOrder();
    }

    @Example
    void callsDoNotWaitForChangesWhileTheStoreIsUnavailable() {
        answer(5);
        fail(new IOException("silent"));
        answer(6);

        assertThat(table.waits)
                .containsExactly(POLL_TIMING.maxWait(), Duration.ZERO, POLL_TIMING.maxWait())
                .inOrder();
    }

    @Example
    void aCallThatWaitsAtAnOldAddressIsAbandoned() {
        answer(5);
        CompletableFuture<WatchedTable.VersionedRows> old = table.calls.poll();
        follower.restartCall();
        answer(6);
        old.complete(rowsAt(5));
        channel.runPendingTasks();

        assertThat(table.requests)
                .containsExactly("read", "after 5", "after 5", "after 6")
                .inOrder();
        assertThat(notifications).containsExactly("reading 5", "changes 6").inOrder();
    }

    @Example
    void anImmediateCallReplacesADelayedOne() {
        answer(5);
        table.calls.poll().completeExceptionally(new IOException("down"));
        channel.runPendingTasks();
        follower.restartCall();
        channel.advanceTimeBy(100, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();

        assertThat(table.requests).containsExactly("read", "after 5", "after 5").inOrder();
    }

    @Example
    void anExceptionInTheListenerDoesNotStopTheFollower() {
        listenerFails = true;
        table.calls.poll().complete(rowsAt(5));
        channel.runPendingTasks();
        listenerFails = false;
        channel.advanceTimeBy(100, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
        answer(5);

        assertThat(table.requests).containsExactly("read", "read", "after 5").inOrder();
    }

    private static WatchedTable.VersionedRows rowsAt(long era, long version) {
        return new WatchedTable.VersionedRows(ImmutableList.of(), new StorePosition(era, version));
    }

    private void answer(long era, long version) {
        table.calls.poll().complete(rowsAt(era, version));
        channel.runPendingTasks();
    }

    /** Guards against hosts that stay at the state before the store came back from an older copy. */
    @Example
    void aFullReadOfANewEraIsAcceptedAlthoughItsVersionIsLower() {
        answer(1, 200);
        fail(new WatchedTable.HistoryLostException("another era"));
        answer(2, 50);
        answer(2, 51);

        assertThat(table.requests)
                .containsExactly("read", "after 1/200", "read", "after 2/50", "after 2/51")
                .inOrder();
        assertThat(notifications)
                .containsExactly("reading 200", "reading 50", "changes 51")
                .inOrder();
    }

    @Example
    void aFullReadOfAnEarlierEraIsRejectedWhateverItsVersion() {
        answer(2, 50);
        fail(new WatchedTable.HistoryLostException("compacted"));
        answer(1, 200);

        assertThat(notifications).containsExactly("reading 50", "lost").inOrder();
    }

    @Example
    void readingAgainAbandonsTheCallInProgressAndWaitsForTheDelay() {
        answer(1, 200);
        CompletableFuture<WatchedTable.VersionedRows> old = table.calls.poll();
        follower.readAgain(Duration.ofMillis(50));
        old.complete(rowsAt(1, 201));
        channel.runPendingTasks();
        assertThat(table.requests).containsExactly("read", "after 1/200").inOrder();
        channel.advanceTimeBy(50, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
        answer(2, 50);

        assertThat(notifications).containsExactly("reading 200", "reading 50").inOrder();
    }

    private final class Listener implements TableFollower.Listener {
        @Override
        public void onFullRead(WatchedTable.VersionedRows rows) {
            if (listenerFails) {
                throw new IllegalStateException("listener failed");
            }
            notifications.add("reading " + rows.version());
        }

        @Override
        public void onChanges(WatchedTable.VersionedRows changes) {
            notifications.add("changes " + changes.version());
        }

        @Override
        public void onUnavailable(String reason) {
            notifications.add("lost");
        }

        @Override
        public void onAvailable() {
            notifications.add("regained");
        }
    }

    private static final class FakeTable implements WatchedTable {
        private final Deque<CompletableFuture<VersionedRows>> calls = new ArrayDeque<>();
        private final List<String> requests = new ArrayList<>();
        private final List<Duration> waits = new ArrayList<>();

        @Override
        public String name() {
            return "table";
        }

        @Override
        public CompletableFuture<VersionedRows> read() {
            return call("read");
        }

        @Override
        public CompletableFuture<VersionedRows> changes(StorePosition after, Duration wait) {
            waits.add(wait);
            return call("after " + (after.era() == 0 ? after.version() : after));
        }

        private CompletableFuture<VersionedRows> call(String request) {
            requests.add(request);
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
