package org.boragebarrow.trials;

import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.OptionalLong;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.boragebarrow.decision.change.ChangeEntry;
import org.boragebarrow.decision.change.ChangeWriter;
import org.boragebarrow.decision.change.ChangeWriterEffect;
import org.boragebarrow.decision.change.ChangeWriterEvent;
import org.boragebarrow.decision.change.JsonChangeCodec;
import org.boragebarrow.decision.table.TableCalls;
import org.boragebarrow.http.client.HttpClient;
import org.boragebarrow.http.platform.HttpTableService;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.model.TargetSwitch;
import org.boragebarrow.node.Host;
import org.boragebarrow.port.TableService;
import org.boragebarrow.standins.engine.EngineSettings;

import static com.google.common.truth.Truth.assertThat;

class ChangePropagationTest {
    private static final AvailabilityZoneId ZONE_B = AvailabilityZoneId.of("b");
    private static final long TIMEOUT_SECONDS = 20;

    private static Network network;
    private static Deployment deployment;

    @BeforeContainer
    static void start() {
        network = Network.withoutIsolation();
        deployment = Deployment.start(new DeploymentSpec(2, 2, 1, EngineSettings.defaults(), 3), network);
    }

    @AfterContainer
    static void stop() {
        deployment.close();
    }

    private static Host host(String id) {
        return deployment.host(HostId.of(id));
    }

    @Example
    void aChangeWhoseWriterCrashedBeforeSendingItIsAppliedOnAllHosts() {
        long number = commitWithoutSending();
        Waiting.until(
                TIMEOUT_SECONDS,
                "the committed change applied on all hosts",
                () -> deployment.hosts().stream().allMatch(host -> host.appliedChangeNumber() >= number));
    }

    /** Commits a change to the table without sending it to any host, like a host that crashes after the commit. */
    private static long commitWithoutSending() {
        EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (HttpClient client = new HttpClient(loops)) {
            TableService table = new HttpTableService(client, deployment.platform(), Duration.ofSeconds(5));
            ChangeWriter writer = new ChangeWriter(new JsonChangeCodec());
            ChangeEntry entry = ChangeEntry.SwitchEntry.set(new TargetSwitch(TargetId.of("nobody"), true));
            Deque<ChangeWriterEvent> events = new ArrayDeque<>();
            events.add(new ChangeWriterEvent.Submitted(1, "untold", entry, OptionalLong.empty()));
            Optional<Long> accepted = Optional.empty();
            while (accepted.isEmpty()) {
                for (ChangeWriterEffect effect : writer.apply(events.remove(), 0)) {
                    switch (effect) {
                        case ChangeWriterEffect.Call call ->
                            events.add(new ChangeWriterEvent.Answered(
                                    call.callId(),
                                    TableCalls.make(call.table(), table).join()));
                        case ChangeWriterEffect.Accepted acceptance ->
                            accepted = Optional.of(acceptance.change().number());
                        case ChangeWriterEffect.Rejected rejection ->
                            throw new IllegalStateException(rejection.message());
                    }
                }
            }
            return accepted.get();
        } finally {
            loops.shutdownGracefully();
        }
    }

    @Example
    void anIsolatedZoneServesRequestsAndAppliesMissedChangesWhenItIsReconnected() {
        long before = AdminCalls.setAllowance(host("host-a1"), "standard", 50_000_000, 100);
        AdminCalls.awaitApplied(
                deployment, AdminCalls.setPlan(host("host-a1"), "workshop", "standard", "workshop-key"));
        network.setIsolatedFromZones(ZONE_B, true);
        network.setIsolatedFromPlatform(ZONE_B, true);
        long missed = AdminCalls.setAllowance(host("host-a1"), "standard", 40_000_000, 100);
        HttpResponse<String> response = Caller.of("workshop-key").complete(host("host-b1"), "cut off", 3, false);
        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(host("host-b1").appliedChangeNumber()).isAtLeast(before);
        HttpResponse<String> edit =
                Caller.sendAdminRequest(host("host-b1"), "PUT", "/admin/v1/targets/x", "{\"started\":true}");
        assertThat(edit.statusCode()).isEqualTo(503);
        assertThat(book(host("host-b1"), "cut-key").body()).contains("STORE_UNAVAILABLE");
        network.setIsolatedFromZones(ZONE_B, false);
        network.setIsolatedFromPlatform(ZONE_B, false);
        Waiting.until(
                TIMEOUT_SECONDS,
                "the missed change applied on all hosts",
                () -> deployment.hosts().stream().allMatch(host -> host.appliedChangeNumber() >= missed));
    }

    private static HttpResponse<String> book(Host host, String key) {
        return Caller.send(Caller.of("workshop-key")
                .request(host, "/services/desk/furnace/bookings")
                .header("Idempotency-Key", key)
                .header("Request-Timeout-Ms", "2000")
                .POST(BodyPublishers.ofString("{\"slot\":\"w\",\"order\":\"x\"}"))
                .build());
    }
}
