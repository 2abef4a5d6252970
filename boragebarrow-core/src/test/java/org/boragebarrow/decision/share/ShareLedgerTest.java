package org.boragebarrow.decision.share;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.Example;
import org.boragebarrow.model.OrganisationId;

import static com.google.common.truth.Truth.assertThat;

class ShareLedgerTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final ShareLedger ledger = new ShareLedger();

    private static Optional<OrganisationId> organisation(int number) {
        return Optional.of(OrganisationId.of("o" + number));
    }

    @Example
    void onlyTheOrganisationThatUsedMoreThanItsShareIsOver() {
        for (int i = 0; i < 4; i++) {
            ledger.record(organisation(i), 1, i == 0 ? 300 : 100, 0);
        }

        assertThat(ledger.isOver(organisation(0))).isTrue();
        assertThat(ledger.isOver(organisation(1))).isFalse();
        assertThat(ledger.isOver(organisation(9))).isFalse();
    }

    @Example
    void theShareFollowsTheWeight() {
        ledger.record(organisation(0), 3, 300, 0);
        ledger.record(organisation(1), 1, 100, 0);
        ledger.record(organisation(2), 1, 250, 0);

        assertThat(ledger.isOver(organisation(0))).isFalse();
        assertThat(ledger.isOver(organisation(2))).isTrue();
    }

    @Example
    void anOrganisationOnItsOwnIsNeverOver() {
        ledger.record(organisation(0), 1, 10_000, 0);

        assertThat(ledger.isOver(organisation(0))).isFalse();
    }

    @Example
    void useOfThePastCountsLess() {
        ledger.record(organisation(0), 1, 1_000, 0);
        ledger.record(organisation(1), 1, 100, 0);
        assertThat(ledger.isOver(organisation(0))).isTrue();
        for (int second = 1; second <= 20; second++) {
            ledger.record(organisation(0), 1, 100, second * SECOND);
            ledger.record(organisation(1), 1, 100, second * SECOND);
        }

        assertThat(ledger.isOver(organisation(0))).isFalse();
    }

    @Example
    void theNumberOfOrganisationsIsBoundedAndIdleOnesAreForgotten() {
        for (int i = 0; i < 2 * ShareLedger.MAX_ORGANISATIONS; i++) {
            ledger.record(organisation(i), 1, 10 + i, 0);
        }
        assertThat(ledger.size()).isEqualTo(ShareLedger.MAX_ORGANISATIONS);
        ledger.forgetIdle(300 * SECOND);

        assertThat(ledger.size()).isEqualTo(0);
    }
}
