package org.boragebarrow.trials;

import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import com.google.common.collect.ImmutableList;
import net.jqwik.api.Example;
import org.boragebarrow.decision.change.SnapshotWriter;
import org.boragebarrow.http.platform.PlatformJson;
import org.boragebarrow.http.platform.TableMessages.CommitRequest;
import org.boragebarrow.http.platform.TableMessages.GetRequest;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.HostId;
import org.boragebarrow.node.Host;
import org.boragebarrow.port.TableService.Write;
import org.boragebarrow.standins.engine.EngineSettings;

import static com.google.common.truth.Truth.assertThat;

class SnapshotTest {
    private static final long TIMEOUT_SECONDS = 30;
    private static final String CHANGE_KEY_FORMAT = "change/%019d";

    @Example
    void aFreshHostStartsFromTheSnapshotOfAnEarlierOne() {
        try (Deployment deployment = Deployment.start(new DeploymentSpec(1, 1, 1, EngineSettings.defaults(), 31))) {
            Host writer = deployment.hosts().get(0);
            IntStream.rangeClosed(1, SnapshotWriter.SNAPSHOT_INTERVAL)
                    .parallel()
                    .forEach(number -> AdminCalls.setAllowance(writer, "allowance-" + number, number, 1));
            Waiting.until(TIMEOUT_SECONDS, "a snapshot is written", () -> hasRow(deployment, "change-snapshot"));
            long lastChange = writer.appliedChangeNumber();
            deployment.hostIds().forEach(deployment::kill);
            deleteChanges(deployment);
            Host freshHost =
                    deployment.startHost(HostId.of("fresh"), AvailabilityZoneId.of("a"), Network.withoutIsolation());
            Waiting.until(TIMEOUT_SECONDS, "the fresh host is ready", freshHost::isReady);
            assertThat(freshHost.appliedChangeNumber()).isEqualTo(lastChange);
        }
    }

    private static boolean hasRow(Deployment deployment, String key) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + deployment.platform() + "/table/get"))
                .POST(BodyPublishers.ofByteArray(PlatformJson.write(new GetRequest(key))))
                .build();
        return Caller.send(request).body().contains(key);
    }

    /** Deletes the rows of the first changes, so that a new host can obtain them only from the snapshot. */
    private static void deleteChanges(Deployment deployment) {
        ImmutableList<Write> deletions = LongStream.rangeClosed(1, SnapshotWriter.SNAPSHOT_INTERVAL)
                .mapToObj(CHANGE_KEY_FORMAT::formatted)
                .map(Write::delete)
                .collect(ImmutableList.toImmutableList());
        byte[] commit = PlatformJson.write(CommitRequest.of(ImmutableList.of(), deletions));
        Caller.sendForSuccess("POST", deployment.platform(), "/table/commit", commit);
    }
}
