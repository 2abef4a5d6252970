package org.boragebarrow.trials;

import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.node.Host;
import org.boragebarrow.standins.engine.EngineSettings;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class DrainTest {
    private static final long TIMEOUT_SECONDS = 20;
    private static final int ANSWER_TOKENS = 60;

    private static Deployment deployment;
    private static Caller caller;

    @BeforeContainer
    static void start() {
        deployment = Deployment.start(new DeploymentSpec(1, 3, 1, EngineSettings.defaults(), 9));
        Host host = host("host-a1");
        AdminCalls.setAllowance(host, "standard", 50_000_000, 100);
        AdminCalls.awaitApplied(deployment, AdminCalls.setPlan(host, "workshop", "standard", "workshop-key"));
        caller = Caller.of("workshop-key");
    }

    @AfterContainer
    static void stop() {
        deployment.close();
    }

    private static Host host(String id) {
        return deployment.host(HostId.of(id));
    }

    @Example
    void aDrainCompletesAResponseInProgressWhileTheTableIsUnavailable() throws InterruptedException {
        Host leaving = host("host-a2");
        CompletableFuture<HttpResponse<String>> response =
                CompletableFuture.supplyAsync(() -> caller.complete(leaving, "slow", ANSWER_TOKENS, true));
        Waiting.until(TIMEOUT_SECONDS, "the request is in progress", () -> leaving.requestsInProgress() == 1);
        Standins.setFaults(deployment.platform(), "/faults/table", "{\"down\":true}");
        deployment.drain(HostId.of("host-a2"));
        Standins.setFaults(deployment.platform(), "/faults/table", "{}");
        assertThat(response.join().body()).endsWith("data: [DONE]\n\n");
        assertThat(response.join().body()).contains("\"completion_tokens\":" + ANSWER_TOKENS);
    }

    /** Guards against callers whose connections a draining host closes without a response. */
    @Example
    void aRequestWhoseBodyIsIncompleteAtTheEndOfADrainIsRefused() throws Exception {
        Host leaving = host("host-a3");
        Endpoint endpoint = leaving.callerEndpoint();
        try (Socket socket = new Socket(endpoint.address(), endpoint.port())) {
            String start = "POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n{";
            socket.getOutputStream().write(start.getBytes(StandardCharsets.UTF_8));
            deployment.drain(HostId.of("host-a3"));
            String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);

            assertThat(response).startsWith("HTTP/1.1 503");
            assertThat(response).contains("\"ran\":\"no\"");
        }
    }

    @Example
    void aStoppedTargetReceivesNoRequestsUntilItIsStartedAgain() {
        Host host = host("host-a1");
        TargetId desk = TargetId.of("desk-a");
        long stopped = sendCommand(host, desk, "stop");
        AdminCalls.awaitApplied(deployment, stopped);
        assertNotRun(host);
        AdminCalls.awaitApplied(deployment, sendCommand(host, desk, "start"));
        assertAnswered(host);
    }

    @Example
    void anEmptiedZoneReceivesNoRequestsUntilItIsTakenBack() {
        Host host = host("host-a1");
        AdminCalls.awaitApplied(deployment, editZone(host, "PUT", "{\"emptied\":true}"));
        assertNotRun(host);
        AdminCalls.awaitApplied(deployment, editZone(host, "DELETE", ""));
        assertAnswered(host);
    }

    private static long editZone(Host host, String method, String body) {
        HttpResponse<String> response = Caller.sendAdminRequest(host, method, "/admin/v1/zones/a", body);
        return response.headers().firstValueAsLong("change-number").orElseThrow();
    }

    private void assertNotRun(Host host) {
        HttpResponse<String> refused = Caller.send(caller.request(host, "/services/desk/stock?item=x")
                .header("Request-Timeout-Ms", "1000")
                .GET()
                .build());
        assertWithMessage(refused.body()).that(refused.statusCode()).isAtLeast(500);
        assertThat(refused.body()).contains("\"ran\":\"no\"");
    }

    private void assertAnswered(Host host) {
        HttpResponse<String> answered = Caller.send(
                caller.request(host, "/services/desk/stock?item=x").GET().build());
        assertWithMessage(answered.body()).that(answered.statusCode()).isEqualTo(200);
    }

    private static long sendCommand(Host host, TargetId target, String command) {
        HttpResponse<String> response =
                Caller.sendAdminRequest(host, "POST", "/admin/v1/targets/" + target + "/" + command, "");
        return response.headers().firstValueAsLong("change-number").orElseThrow();
    }
}
