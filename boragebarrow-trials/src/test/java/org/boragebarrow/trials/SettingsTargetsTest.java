package org.boragebarrow.trials;

import java.net.http.HttpResponse;

import net.jqwik.api.Example;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.HostId;
import org.boragebarrow.node.Host;
import org.boragebarrow.standins.engine.EngineSettings;

import static com.google.common.truth.Truth.assertWithMessage;

class SettingsTargetsTest {
    private static final AvailabilityZoneId ZONE = AvailabilityZoneId.of("a");
    private static final long TIMEOUT_SECONDS = 20;

    @Example
    void aHostThatCannotReadTheHostListServesWithTheTargetsOfItsSettings() {
        Network network = Network.withoutIsolation();
        try (Deployment deployment =
                Deployment.start(new DeploymentSpec(1, 1, 1, EngineSettings.defaults(), 13), network)) {
            Host first = deployment.hosts().get(0);
            AdminCalls.setAllowance(first, "standard", 50_000_000, 100);
            long change = AdminCalls.setPlan(first, "workshop", "standard", "workshop-key");
            AdminCalls.awaitApplied(deployment, change);
            Standins.setFaults(deployment.platform(), "/faults/hosts", "{\"down\":true}");
            deployment.kill(HostId.of("host-a1"));
            Host second = deployment.startHost(HostId.of("host-a2"), ZONE, network, deployment.targetSettings());
            Waiting.until(TIMEOUT_SECONDS, "the new host is ready", second::isReady);
            HttpResponse<String> response = Caller.of("workshop-key").complete(second, "no list", 3, false);
            assertWithMessage(response.body()).that(response.statusCode()).isEqualTo(200);
        }
    }
}
