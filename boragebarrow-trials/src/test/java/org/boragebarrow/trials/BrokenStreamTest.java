package org.boragebarrow.trials;

import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.boragebarrow.node.Host;
import org.boragebarrow.standins.engine.EngineSettings;
import org.boragebarrow.standins.engine.TokenTexts;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class BrokenStreamTest {
    private static final int ANSWER_TOKENS = 30;

    private static Deployment deployment;
    private static Caller caller;

    @BeforeContainer
    static void start() {
        deployment = Deployment.start(new DeploymentSpec(1, 1, 2, EngineSettings.defaults(), 5));
        Host host = deployment.hosts().get(0);
        AdminCalls.setAllowance(host, "standard", 50_000_000, 100);
        AdminCalls.awaitApplied(deployment, AdminCalls.setPlan(host, "workshop", "standard", "workshop-key"));
        caller = Caller.of("workshop-key");
    }

    @AfterContainer
    static void stop() {
        deployment.close();
    }

    private static void setFaults(String faults) {
        deployment.engines().values().forEach(engine -> Standins.setFaults(engine.endpoint(), "/faults", faults));
    }

    private static void expectCompleteAnswer(String prompt) {
        HttpResponse<String> response = caller.complete(deployment.hosts().get(0), prompt, ANSWER_TOKENS, false);
        String body = "{\"model\":\"model\",\"prompt\":\"%s\",\"max_tokens\":%d,\"stream\":false}"
                .formatted(prompt, ANSWER_TOKENS);
        String expected =
                TokenTexts.completeText(TokenTexts.bodyHash(body.getBytes(StandardCharsets.UTF_8)), ANSWER_TOKENS);
        assertWithMessage(response.body()).that(response.statusCode()).isEqualTo(200);
        assertThat(response.body()).contains(expected);
    }

    private static double sumOfMetric(String name) {
        String metrics = Caller.sendAdminRequest(deployment.hosts().get(0), "GET", "/metrics", "")
                .body();
        return metrics.lines()
                .filter(line -> line.startsWith(name))
                .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
                .sum();
    }

    @Example
    void aFailedStreamIsResumedAtItsEngine() {
        double before = sumOfMetric("boragebarrow_resumes_total");
        setFaults("{\"drop_after_tokens\":7}");
        expectCompleteAnswer("resumed");
        assertThat(sumOfMetric("boragebarrow_resumes_total")).isGreaterThan(before);
    }

    @Example
    void anAnswerWhoseEngineLostItsStateIsContinuedAtAnother() {
        double before = sumOfMetric("boragebarrow_retries_total");
        setFaults("{\"die_after_tokens\":9}");
        expectCompleteAnswer("continued");
        assertThat(sumOfMetric("boragebarrow_retries_total")).isGreaterThan(before);
        setFaults("{\"die_after_tokens\":0}");
    }
}
