package org.boragebarrow.trials;

import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import net.jqwik.api.Example;
import org.boragebarrow.http.engine.EngineMessages;
import org.boragebarrow.http.engine.EngineProtocol;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.ModelId;
import org.boragebarrow.node.Host;
import org.boragebarrow.port.EngineControl.UnloadModel;
import org.boragebarrow.standins.engine.EngineSettings;

import static com.google.common.truth.Truth.assertThat;

class PlanningTest {
    private static final long TIMEOUT_SECONDS = 60;
    private static final Duration LOAD_TIME = Duration.ofSeconds(1);
    private static final ModelId SCRIBE = ModelId.of("scribe");
    private static final String SETTINGS = """
            [planner]
            models = model, scribe
            lease-ms = 1000
            """;

    private static Deployment start(long seed) {
        EngineSettings engine =
                EngineSettings.builder().loadTime(LOAD_TIME).checksFencing(true).build();
        return Deployment.start(new DeploymentSpec(1, 2, 2, engine, seed), Network.withoutIsolation(), SETTINGS);
    }

    private static long enginesWithScribe(Deployment deployment) {
        return deployment.engines().values().stream()
                .filter(engine -> holdsScribe(engine.endpoint()))
                .count();
    }

    private static boolean holdsScribe(Endpoint engine) {
        for (JsonNode model : Standins.readJson(engine, EngineProtocol.LOAD).path("models")) {
            if (model.asText().equals(SCRIBE.value())) {
                return true;
            }
        }
        return false;
    }

    private static void awaitScribe(Deployment deployment) {
        Waiting.until(TIMEOUT_SECONDS, "an engine holds the model", () -> enginesWithScribe(deployment) == 1);
    }

    private static HostId awaitPlanner(Deployment deployment) {
        Waiting.until(
                TIMEOUT_SECONDS,
                "a host holds the lease",
                () -> planner(deployment).isPresent());
        return planner(deployment).orElseThrow();
    }

    private static Optional<HostId> planner(Deployment deployment) {
        return deployment.hostIds().stream()
                .filter(id -> deployment.host(id).plannerFencingNumber().isPresent())
                .findFirst();
    }

    @Example
    void aModelThatNoEngineHeldIsLoadedAndServed() {
        try (Deployment deployment = start(21)) {
            Host host = deployment.hosts().get(0);
            AdminCalls.setAllowance(host, "standard", 50_000_000, 100);
            AdminCalls.awaitApplied(deployment, AdminCalls.setPlan(host, "workshop", "standard", "workshop-key"));
            awaitScribe(deployment);
            Waiting.until(
                    TIMEOUT_SECONDS,
                    "the model is served",
                    () -> completeWithScribe(host).statusCode() == 200);
            assertThat(completeWithScribe(host).body()).contains("\"completion_tokens\":3");
        }
    }

    private static HttpResponse<String> completeWithScribe(Host host) {
        return Caller.send(Caller.of("workshop-key")
                .request(host, "/v1/completions")
                .POST(BodyPublishers.ofString("{\"model\":\"scribe\",\"prompt\":\"x\",\"max_tokens\":3}"))
                .build());
    }

    @Example
    void thePlannerOfAKilledHostIsReplacedByOneWithAHigherFencingNumberThatSendsOrders() {
        try (Deployment deployment = start(22)) {
            awaitScribe(deployment);
            HostId first = awaitPlanner(deployment);
            long before = deployment.host(first).plannerFencingNumber().orElseThrow();
            deployment.kill(first);
            HostId second = awaitPlanner(deployment);
            long after = deployment.host(second).plannerFencingNumber().orElseThrow();
            assertThat(after).isGreaterThan(before);
            unloadScribe(deployment, before);
            Waiting.until(TIMEOUT_SECONDS, "the model is unloaded", () -> enginesWithScribe(deployment) == 0);
            awaitScribe(deployment);
        }
    }

    /** Unloads the model with the fencing number of an earlier planner, like a delayed order of that planner. */
    private static void unloadScribe(Deployment deployment, long fencingNumber) {
        byte[] order = EngineMessages.write(new UnloadModel(SCRIBE), fencingNumber)
                .toString()
                .getBytes(StandardCharsets.UTF_8);
        deployment.engines().values().stream()
                .filter(engine -> holdsScribe(engine.endpoint()))
                .forEach(engine -> Caller.sendForSuccess("POST", engine.endpoint(), EngineProtocol.ORDERS, order));
    }
}
