package org.boragebarrow.standins;

import java.io.IOException;
import java.io.StringReader;
import java.time.Duration;

import net.jqwik.api.Example;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.ModelId;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.model.Target;
import org.boragebarrow.model.TargetKind;
import org.boragebarrow.port.HostList.Listing;
import org.boragebarrow.standins.engine.EngineSettings;
import org.boragebarrow.standins.platform.PlatformSettings;

import static com.google.common.truth.Truth.assertThat;

class StandinsSettingsTest {
    private static final String PLATFORM = "[platform]\nendpoint = 127.0.0.1:0\nhost-list-lag-ms = 1500\n";
    private static final String ENGINE = "[engine e.1]\nzone = a\nendpoint = 127.0.0.1:7001\n";
    private static final String SERVICE = "[service s1]\nservice = stock\nzone = b\nendpoint = 127.0.0.1:7002\n";
    private static final String HOST = "[entry-host h1]\nzone = a\nendpoint = 127.0.0.1:7003\n";

    @Example
    void theHostListContainsAllTargetsAndEntryHosts() throws IOException {
        PlatformSettings platform =
                read(PLATFORM + ENGINE + SERVICE + HOST).platform().orElseThrow();
        assertThat(platform.hostListLag()).isEqualTo(Duration.ofMillis(1_500));
        Listing hosts = platform.hosts();
        assertThat(hosts.entryHosts().get(0).endpoint()).isEqualTo(Endpoint.of("127.0.0.1", 7003));
        assertThat(hosts.targets().stream().map(Target::kind))
                .containsExactly(TargetKind.ENGINE, TargetKind.SERVICE)
                .inOrder();
        assertThat(hosts.targets().get(0).id().value()).isEqualTo("e.1");
        assertThat(hosts.targets().get(1).service().orElseThrow()).isEqualTo(ServiceName.of("stock"));
    }

    @Example
    void settingsOfAnEngineReplaceTheDefaults() throws IOException {
        EngineSettings settings = read(ENGINE + "models = m1, m2\nprefill-tokens-per-second = 500\n")
                .engines()
                .get(0)
                .settings();
        assertThat(settings.models()).containsExactly(ModelId.of("m1"), ModelId.of("m2"));
        assertThat(settings.prefillTokensPerSecond()).isEqualTo(500);
        assertThat(settings.batchSlots()).isEqualTo(EngineSettings.defaults().batchSlots());
    }

    @Example
    void everyStandinHasADistinctSeedByDefault() throws IOException {
        StandinsSettings settings = read(ENGINE + SERVICE);
        assertThat(settings.engines().get(0).seed())
                .isNotEqualTo(settings.services().get(0).seed());
    }

    @Example
    void unknownSettingsAreRejected() {
        assertThat(rejectionMessage(ENGINE + "sped = 3\n")).contains("sped");
    }

    @Example
    void unknownSectionsAreRejected() {
        assertThat(rejectionMessage("[engines e1]\nzone = a\n")).contains("engines e1");
    }

    @Example
    void aMissingZoneIsRejected() {
        assertThat(rejectionMessage("[engine e1]\nendpoint = 127.0.0.1:1\n")).contains("lacks zone");
    }

    @Example
    void aMalformedNumberIsRejected() {
        assertThat(rejectionMessage(ENGINE + "batch-slots = many\n")).contains("batch-slots");
    }

    @Example
    void aFleetStartsAndStopsAllStandins() throws IOException {
        String anyPort = (PLATFORM + ENGINE + SERVICE).replaceAll(":700\\d", ":0");
        StandinFleet fleet = StandinFleet.start(read(anyPort));
        fleet.close();
        assertThat(fleet.descriptions()).hasSize(3);
    }

    private static StandinsSettings read(String text) throws IOException {
        return StandinsSettings.read(new StringReader(text));
    }

    private static String rejectionMessage(String text) {
        try {
            read(text);
            throw new AssertionError("the settings were accepted");
        } catch (IllegalArgumentException e) {
            return e.getMessage();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
