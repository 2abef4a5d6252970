package org.boragebarrow.trials;

import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.boragebarrow.node.Host;
import org.boragebarrow.standins.engine.EngineSettings;
import org.boragebarrow.standins.engine.EngineStandin;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class GangTest {
    private static final long CAPACITY_TOKENS = 100_000;
    private static final long TIMEOUT_SECONDS = 20;

    private static Deployment deployment;
    private static Caller caller;

    @BeforeContainer
    static void start() {
        EngineSettings smallEngine = EngineSettings.builder()
                .capacityTokens(CAPACITY_TOKENS)
                .prefillTokensPerSecond(1_000_000)
                .build();
        deployment = Deployment.start(new DeploymentSpec(1, 2, 4, smallEngine, 11));
        Host host = deployment.hosts().get(0);
        AdminCalls.setAllowance(host, "standard", 1_000_000_000, 100);
        AdminCalls.awaitApplied(deployment, AdminCalls.setPlan(host, "workshop", "standard", "workshop-key"));
        caller = Caller.of("workshop-key");
    }

    @AfterContainer
    static void stop() {
        deployment.close();
    }

    private static HttpResponse<String> send(Host host, int promptTokens) {
        return Caller.send(caller.request(host, "/v1/completions")
                .header("Prompt-Tokens", Integer.toString(promptTokens))
                .POST(BodyPublishers.ofString("{\"model\":\"model\",\"prompt\":\"ledger\",\"max_tokens\":3}"))
                .build());
    }

    @Example
    void aPromptLargerThanOneEngineRunsOnAGangAndReleasesAllMemory() {
        for (Host host : deployment.hosts()) {
            HttpResponse<String> response = send(host, 250_000);
            assertWithMessage(response.body()).that(response.statusCode()).isEqualTo(200);
        }
        Waiting.until(
                TIMEOUT_SECONDS,
                "all engines are empty",
                () -> deployment.engines().values().stream().allMatch(GangTest::holdsNoMemory));
    }

    @Example
    void aPromptLargerThanAllEnginesTogetherIsRefusedAsNotRun() {
        HttpResponse<String> response = send(deployment.hosts().get(0), 900_000);
        assertThat(response.statusCode()).isEqualTo(413);
        assertThat(response.body()).contains("\"ran\":\"no\"");
    }

    private static boolean holdsNoMemory(EngineStandin engine) {
        var holdings = Standins.readJson(engine.endpoint(), "/v1/holdings");
        return holdings.path("sequences").isEmpty()
                && holdings.path("reservations").isEmpty();
    }
}
