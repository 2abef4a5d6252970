package org.boragebarrow.node.plan;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;

import com.google.common.base.Ticker;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import net.jqwik.api.Example;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.ModelId;
import org.boragebarrow.model.Target;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.model.TargetKind;
import org.boragebarrow.port.EngineControl.LoadReport;

import static com.google.common.truth.Truth.assertThat;

class EnginePollerTest {
    private static final ModelId SCRIBE = ModelId.of("scribe");
    private static final ModelId DRAFTER = ModelId.of("drafter");
    private static final ModelId FOREIGN = ModelId.of("foreign");
    private static final Target ENGINE = new Target(
            TargetId.of("engine"),
            TargetKind.ENGINE,
            AvailabilityZoneId.of("a"),
            Endpoint.of("127.0.0.1", 1),
            Optional.empty(),
            false);

    private final AtomicLong nanos = new AtomicLong();
    private final List<Target> polledEngines = new ArrayList<>();
    private final EnginePoller poller = new EnginePoller(
            engine -> {
                polledEngines.add(engine);
                return new CompletableFuture<>();
            },
            new Ticker() {
                @Override
                public long read() {
                    return nanos.get();
                }
            },
            ImmutableSet.of(SCRIBE, DRAFTER));

    private static EnginePoller.LoadResponse response(String engine, int running, int queued, ModelId... models) {
        LoadReport load = new LoadReport(
                Duration.ofMillis(300), 1, 0, 1, running, queued, 1, 1, ImmutableSet.copyOf(models), "both", true);
        return new EnginePoller.LoadResponse(TargetId.of(engine), load, 1_000_000, 3_000_000);
    }

    private void pollAfter(Duration time) {
        nanos.addAndGet(time.toNanos());
        poller.poll(ImmutableList.of(ENGINE), response -> {});
    }

    @Example
    void demandIsSummedOverEnginesAndSplitAmongTheModelsOfEach() {
        poller.recordResponse(response("first", 3, 2, SCRIBE));
        var demand =
                poller.recordResponse(response("second", 4, 0, SCRIBE, DRAFTER)).sequencesByModel();
        assertThat(demand).containsExactly(SCRIBE, 7.0, DRAFTER, 2.0);
    }

    @Example
    void demandForModelsThatAreNotPlannedIsIgnored() {
        assertThat(poller.recordResponse(response("first", 3, 2, FOREIGN)).sequencesByModel())
                .isEmpty();
    }

    @Example
    void theDurationOfTheCallIsAddedToTheReportsAge() {
        assertThat(response("first", 0, 0, SCRIBE).toEvent().age()).isEqualTo(Duration.ofMillis(302));
    }

    @Example
    void enginesArePolledEveryFiveSeconds() {
        pollAfter(Duration.ZERO);
        pollAfter(Duration.ofMillis(4_999));
        assertThat(polledEngines).hasSize(1);
        pollAfter(Duration.ofMillis(1));
        assertThat(polledEngines).hasSize(2);
    }

    @Example
    void enginesArePolledEverySecondForAPeriodAfterAnOrder() {
        pollAfter(Duration.ZERO);
        poller.onOrderSent();
        pollAfter(Duration.ofSeconds(1));
        assertThat(polledEngines).hasSize(2);
        pollAfter(Duration.ofSeconds(30));
        pollAfter(Duration.ofSeconds(1));
        assertThat(polledEngines).hasSize(3);
    }
}
