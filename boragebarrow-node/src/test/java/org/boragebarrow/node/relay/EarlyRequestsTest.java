package org.boragebarrow.node.relay;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import io.netty.channel.embedded.EmbeddedChannel;
import net.jqwik.api.Example;
import org.boragebarrow.decision.assign.PromptSize;
import org.boragebarrow.model.PromptParts;
import org.boragebarrow.node.watch.TableFollower;
import org.boragebarrow.port.WatchedTable.VersionedRows;

import static com.google.common.truth.Truth.assertThat;

/** Replays what a host knows at each moment of its start, and which requests wait for what it lacks. */
class EarlyRequestsTest {
    private static final VersionedRows NO_ROWS = new VersionedRows(ImmutableList.of(), 1);

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private boolean ended;
    private final EarlyRequests early = new EarlyRequests(() -> ended = true);
    private final TableFollower.Listener routing = early.awaitingFirstRead(new IgnoringListener());
    private final TableFollower.Listener fleet = early.awaitingFirstRead(new IgnoringListener());
    private final TableFollower.Listener hosts = early.awaitingFirstRead(new IgnoringListener());

    private EarlyRequests.Early arrive(String id, long tokens, long arrivalMillis) {
        RelayRequest request = new RelayRequest(
                "POST",
                "/a/b",
                "shop",
                id,
                Optional.of(Duration.ofMillis(2_400)),
                Optional.empty(),
                tokens == 0 ? Optional.empty() : Optional.of(new PromptSize(tokens, 100)),
                PromptParts.of(ImmutableList.of()),
                OptionalLong.empty(),
                ImmutableListMultimap.of(),
                ImmutableList.of());
        return new EarlyRequests.Early(
                request,
                new RelayFixture.FakeResponse(channel.eventLoop()),
                TimeUnit.MILLISECONDS.toNanos(arrivalMillis));
    }

    private ImmutableList<String> waitingIds() {
        return early.removeAll().stream()
                .map(waiting -> waiting.request().id())
                .collect(ImmutableList.toImmutableList());
    }

    @Example
    void requestsWaitUntilAllFirstReadsWereAnsweredAndTheShortestGoFirst() {
        assertThat(early.offer(arrive("long", 220_000, 100))).isTrue();
        routing.onFullRead(NO_ROWS);
        assertThat(early.offer(arrive("short", 5_000, 250))).isTrue();
        fleet.onFullRead(NO_ROWS);
        fleet.onFullRead(NO_ROWS);
        assertThat(early.offer(arrive("plain", 0, 400))).isTrue();
        assertThat(early.offer(arrive("later", 5_000, 450))).isTrue();
        assertThat(ended).isFalse();
        hosts.onFullRead(NO_ROWS);

        assertThat(ended).isTrue();
        assertThat(waitingIds())
                .containsExactly("plain", "short", "later", "long")
                .inOrder();
        assertThat(early.offer(arrive("new", 0, 500))).isFalse();
    }

    @Example
    void noRequestWaitsOnceTheStoreHasFailed() {
        early.offer(arrive("first", 0, 100));
        fleet.onUnavailable("connection refused");

        assertThat(ended).isTrue();
        assertThat(waitingIds()).containsExactly("first");
        assertThat(early.offer(arrive("second", 0, 200))).isFalse();
    }

    @Example
    void noMoreRequestsWaitThanASmallHostCanHandleInTheTime() {
        for (int i = 0; i < EarlyRequests.MAX_REQUESTS; i++) {
            assertThat(early.offer(arrive("r" + i, 0, i))).isTrue();
        }

        assertThat(early.offer(arrive("one more", 0, 20))).isFalse();
    }

    @Example
    void aRequestWaitsForAThirdOfItsTimeLimitAtMostAndLeavesOnce() {
        EarlyRequests.Early request = arrive("first", 0, 100);
        early.offer(request);

        assertThat(request.maxWait()).isEqualTo(Duration.ofMillis(800));
        assertThat(early.remove(request)).isTrue();
        assertThat(early.remove(request)).isFalse();
        assertThat(waitingIds()).isEmpty();
    }

    private static final class IgnoringListener implements TableFollower.Listener {
        @Override
        public void onFullRead(VersionedRows rows) {}

        @Override
        public void onChanges(VersionedRows changes) {}

        @Override
        public void onUnavailable(String reason) {}

        @Override
        public void onAvailable() {}
    }
}
