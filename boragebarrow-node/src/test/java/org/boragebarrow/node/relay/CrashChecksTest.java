package org.boragebarrow.node.relay;

import java.util.concurrent.CompletableFuture;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.boragebarrow.decision.fleet.FleetTarget;
import org.boragebarrow.decision.routing.RequestKind;
import org.boragebarrow.model.TargetId;

import static com.google.common.truth.Truth.assertThat;

class CrashChecksTest {
    private final RelayFixture fixture = new RelayFixture(100);
    private final FleetTarget first = fixture.addTarget("first");

    @AfterTry
    void close() {
        fixture.close();
    }

    private void sendAndReset() {
        fixture.setRoute(RequestKind.AT_MOST_ONCE_STREAM, 1);
        fixture.send();
        fixture.assignments.assign(first);
        fixture.calls.last().reset();
    }

    @Example
    void aTargetThatRefusesConnectionsAfterOneHasEndedIsReported() {
        fixture.calls.refusesConnection = CompletableFuture.completedFuture(true);
        sendAndReset();
        fixture.advance(100);

        assertThat(fixture.assignments.refusing).containsExactly(TargetId.of("first"));
    }

    @Example
    void aTargetThatAcceptsConnectionsIsNotReported() {
        sendAndReset();
        fixture.advance(100);

        assertThat(fixture.calls.checked).hasSize(1);
        assertThat(fixture.assignments.refusing).isEmpty();
    }

    @Example
    void aTargetWhoseCheckFailsIsNotReported() {
        fixture.calls.refusesConnection = CompletableFuture.failedFuture(new IllegalStateException("closed"));
        sendAndReset();
        fixture.advance(100);

        assertThat(fixture.assignments.refusing).isEmpty();
    }

    @Example
    void connectionsThatEndTogetherCauseOneCheck() {
        fixture.calls.refusesConnection = new CompletableFuture<>();
        sendAndReset();
        sendAndReset();
        fixture.advance(100);
        sendAndReset();
        fixture.advance(100);

        assertThat(fixture.calls.checked).hasSize(1);
        fixture.calls.refusesConnection.complete(false);
        fixture.advance(1);
        sendAndReset();
        fixture.advance(100);
        assertThat(fixture.calls.checked).hasSize(2);
    }

    @Example
    void aRefusalByTheTargetCausesNoCheck() {
        fixture.setRoute(RequestKind.AT_MOST_ONCE, 1);
        fixture.send();
        fixture.assignments.assign(first);
        fixture.calls.last().refuse();
        fixture.advance(100);

        assertThat(fixture.calls.checked).isEmpty();
    }
}
