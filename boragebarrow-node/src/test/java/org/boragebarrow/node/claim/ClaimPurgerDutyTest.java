package org.boragebarrow.node.claim;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import com.google.common.base.Ticker;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import net.jqwik.api.Example;
import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.node.ring.DutyRing;
import org.boragebarrow.port.ObjectStore;
import org.boragebarrow.port.TableService.Write;
import org.boragebarrow.testing.FakeTable;

import static com.google.common.truth.Truth.assertThat;

class ClaimPurgerDutyTest {
    private static final ImmutableSet<OrganisationId> ORGANISATIONS = ImmutableSet.of(OrganisationId.of("workshop"));
    private static final String CLAIM_KEY = "claim/workshop/0a";
    private static final String EXPIRED_CLAIM = """
            {"state":"done","attempt":"host#1/1","requestHash":"hash","period":1,\
            "answer":{"status":200,"headers":[],"object":"body-of-0a"}}
            """;
    private static final int MAX_TICKS = 600;
    private static final long POLL_TIMEOUT_MILLIS = 50;

    private final AtomicLong nanos = new AtomicLong();
    private final BlockingQueue<String> deletedObjects = new LinkedBlockingQueue<>();
    private final FakeTable table = FakeTable.immediate(1);

    private final Ticker ticker = new Ticker() {
        @Override
        public long read() {
            return nanos.get();
        }
    };

    private final ObjectStore objects = new ObjectStore() {
        @Override
        public CompletableFuture<Void> put(String key, byte[] bytes) {
            throw new AssertionError(key);
        }

        @Override
        public CompletableFuture<Optional<byte[]>> get(String key) {
            throw new AssertionError(key);
        }

        @Override
        public CompletableFuture<Void> delete(String key) {
            deletedObjects.add(key);
            return CompletableFuture.completedFuture(null);
        }
    };

    @Example
    void anExpiredClaimAndItsBodyAreDeleted() throws InterruptedException {
        table.commit(
                ImmutableList.of(),
                ImmutableList.of(Write.put("claim-period", "40"), Write.put(CLAIM_KEY, EXPIRED_CLAIM)));
        Optional<String> body = Optional.empty();
        try (ClaimPurgerDuty purger =
                new ClaimPurgerDuty(table, objects, ticker, new DutyRing.Factory(64, (duty, failure) -> {}))) {
            for (int tick = 0; tick < MAX_TICKS && body.isEmpty(); tick++) {
                nanos.addAndGet(Duration.ofMinutes(10).toNanos());
                purger.tick(true, ORGANISATIONS);
                body = Optional.ofNullable(deletedObjects.poll(POLL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
            }
        }
        assertThat(body).hasValue("body-of-0a");
        assertThat(table.get(CLAIM_KEY).join()).isEmpty();
    }

    @Example
    void aHostWithoutTheRoleMakesNoCall() {
        try (ClaimPurgerDuty purger =
                new ClaimPurgerDuty(table, objects, ticker, new DutyRing.Factory(64, (duty, failure) -> {}))) {
            purger.tick(false, ORGANISATIONS);
        }
        assertThat(table.readCount()).isEqualTo(0);
    }
}
