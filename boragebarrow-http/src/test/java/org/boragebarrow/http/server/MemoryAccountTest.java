package org.boragebarrow.http.server;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

import com.google.common.base.Ticker;
import net.jqwik.api.Example;

import static com.google.common.truth.Truth.assertThat;

/** Replays crowds that send long bodies and do not complete them, beside ordinary callers. */
class MemoryAccountTest {
    private static final long LIMIT = 16 << 20;
    private static final long LONG = 1 << 20;
    private static final long SHORT = 8 << 10;

    private final AtomicLong now = new AtomicLong();
    private final MemoryAccount account = MemoryAccount.of(LIMIT, new Ticker() {
        @Override
        public long read() {
            return now.get();
        }
    });
    private final List<String> evicted = new ArrayList<>();

    private MemoryShare share(String name) {
        return new MemoryShare(account, () -> evicted.add(name));
    }

    /** Returns the share of a connection that has received a part of a request. */
    private MemoryShare incomplete(String name, long bytes) {
        MemoryShare share = share(name);
        assertThat(share.tryHold(bytes)).isTrue();
        share.setEvictable(true);
        return share;
    }

    private void pass(Duration time) {
        now.addAndGet(time.toNanos());
    }

    private int fillWithLongRequests() {
        int number = 0;
        while (share("long").tryHold(LONG)) {
            number++;
        }
        return number;
    }

    @Example
    void longRequestsLeaveRoomForShortOnes() {
        assertThat(fillWithLongRequests()).isEqualTo(12);

        for (int i = 0; i < 400; i++) {
            assertThat(share("short").tryHold(SHORT)).isTrue();
        }
        assertThat(evicted).isEmpty();
    }

    @Example
    void whatHasHeldMostForLongestIsEvicted() {
        incomplete("small and old", SHORT);
        pass(Duration.ofSeconds(2));
        incomplete("large", 4 * LONG);
        pass(Duration.ofSeconds(1));
        incomplete("large and new", 4 * LONG);
        pass(Duration.ofSeconds(1));

        assertThat(share("next").tryHold(6 * LONG)).isTrue();
        assertThat(evicted).containsExactly("large");
        assertThat(account.evictions()).isEqualTo(1);
    }

    @Example
    void nothingIsEvictedThatHasJustBegun() {
        MemoryShare begun = incomplete("begun", 8 * LONG);
        pass(Duration.ofMillis(900));

        assertThat(share("next").tryHold(8 * LONG)).isFalse();
        assertThat(evicted).isEmpty();
        assertThat(begun.heldBytes()).isEqualTo(8 * LONG);
    }

    @Example
    void aRequestThatIsBeingServedIsNotEvicted() {
        MemoryShare served = incomplete("served", 8 * LONG);
        served.setEvictable(false);
        pass(Duration.ofMinutes(1));

        assertThat(share("next").tryHold(8 * LONG)).isFalse();
        assertThat(evicted).isEmpty();
    }

    @Example
    void aRequestDoesNotEvictItself() {
        MemoryShare growing = incomplete("growing", 8 * LONG);
        pass(Duration.ofSeconds(5));

        assertThat(growing.tryHold(8 * LONG)).isFalse();
        assertThat(evicted).isEmpty();
    }

    @Example
    void anUnreadResponseMayExceedTheLimitButIsEvictedForRequests() {
        fillWithLongRequests();
        MemoryShare unread = share("unread");
        unread.hold(8 * LONG);
        unread.setEvictable(true);
        assertThat(account.heldBytes()).isGreaterThan(LIMIT);
        pass(Duration.ofSeconds(2));

        assertThat(share("short").tryHold(SHORT)).isTrue();
        assertThat(evicted).containsExactly("unread");
    }

    @Example
    void whatAnEvictionReleasedIsNotReleasedAgain() {
        MemoryShare slow = incomplete("slow", 8 * LONG);
        pass(Duration.ofSeconds(2));
        MemoryShare next = share("next");
        assertThat(next.tryHold(8 * LONG)).isTrue();

        slow.release(8 * LONG);
        slow.releaseAll();
        assertThat(slow.tryHold(SHORT)).isFalse();
        assertThat(account.heldBytes()).isEqualTo(8 * LONG);
        next.releaseAll();
        assertThat(account.heldBytes()).isEqualTo(0);
    }
}
