package org.boragebarrow.node.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;

import com.google.common.collect.ImmutableList;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterProperty;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.ServiceName;

import static com.google.common.truth.Truth.assertThat;
import static java.util.stream.Collectors.joining;

class HostSettingsTest {
    private static final String SECRET = "a very secret sentence";

    private final Path secret;
    private final String validText;

    HostSettingsTest() throws IOException {
        secret = Files.createTempFile("boragebarrow", "secret");
        Files.writeString(secret, SECRET + "\n");
        validText = """
                [host]
                id = host-1
                zone = a
                [callers]
                endpoint = 127.0.0.1:8080
                [admin]
                endpoint = 127.0.0.1:8081
                token = file:%1$s
                [peers]
                endpoint = 127.0.0.1:8082
                key = file:%1$s
                [platform]
                table = 127.0.0.1:1
                objects = 127.0.0.1:2
                host-list = 127.0.0.1:3
                weights = 127.0.0.1:4
                """.formatted(secret);
    }

    @AfterProperty
    void deleteSecret() throws IOException {
        Files.delete(secret);
    }

    private static ImmutableList<SettingsProblem> problemsOf(String text) {
        try {
            HostSettings.parse(text);
            return ImmutableList.of();
        } catch (SettingsException e) {
            return e.problems();
        }
    }

    private static String problemTextOf(String text) {
        return problemsOf(text).stream().map(SettingsProblem::toString).collect(joining("\n"));
    }

    @Example
    void aFileWithOnlyTheRequiredKeysIsValid() {
        HostSettings settings = HostSettings.parse(validText);
        assertThat(settings.callers()).isEqualTo(Endpoint.parse("127.0.0.1:8080"));
        assertThat(settings.grantTimeout()).isEqualTo(Duration.ofMillis(250));
        assertThat(settings.callerLimits().receiveTimeout()).isEqualTo(Duration.ofSeconds(30));
    }

    @Example
    void allProblemsAreReportedTogetherInTheOrderOfTheFile() {
        String text = validText
                .replace("zone = a", "zone =")
                .replace("127.0.0.1:8081", "nowhere")
                .replace("weights = 127.0.0.1:4\n", "wieghts = 127.0.0.1:4\n");
        assertThat(problemsOf(text).stream().map(SettingsProblem::line).toList())
                .containsExactly(3, 7, 16, 0)
                .inOrder();
        assertThat(problemsOf(text).stream().map(SettingsProblem::key).toList())
                .containsExactly("zone", "endpoint", "wieghts", "weights")
                .inOrder();
    }

    @Example
    void anEmptyFileMissesEveryRequiredKey() {
        long required = SettingKeys.all().stream()
                .filter(setting -> setting.defaultText().isEmpty())
                .filter(setting -> !setting.section().endsWith(" NAME"))
                .count();
        assertThat(problemsOf("")).hasSize((int) required);
    }

    @Example
    void anUnknownKeyIsReportedWithItsLine() {
        assertThat(problemTextOf(validText + "colour = blue\n")).isEqualTo("line 17: [platform] colour: unknown key");
    }

    @Example
    void aKeyInTheWrongSectionIsUnknownThere() {
        assertThat(problemTextOf(validText + "idle-ms = 1000\n")).contains("[platform] idle-ms: unknown key");
    }

    @Example
    void aKeyThatIsSetTwiceIsRefused() {
        assertThat(problemTextOf(validText + "table = 127.0.0.1:9\n")).contains("table: already set in line 13");
    }

    @Example
    void aNumberOutOfItsRangeIsRefused() {
        assertThat(problemTextOf(validText + "[requests]\nmax-in-progress = 0\n"))
                .contains("0 is not within 1 to 1000000");
        assertThat(problemTextOf(validText + "[requests]\nmax-in-progress = 1000001\n"))
                .contains("1000001 is not within");
    }

    @Example
    void aNumberTooLargeForAnIntegerIsRefused() {
        assertThat(problemTextOf(validText + "[requests]\ndrain-grace-ms = 99999999999\n"))
                .contains("not a whole number");
    }

    @Example
    void aRingCapacityThatIsNotAPowerOfTwoIsRefused() {
        assertThat(problemTextOf(validText + "[requests]\nring-capacity = 100\n"))
                .contains("100 is not a power of two");
    }

    @Example
    void aBodyLimitAboveTheLimitOfAllBodiesIsRefused() {
        String limits = "[callers]\nendpoint = 127.0.0.1:8080\nmax-body-bytes = 4096\nmax-buffered-bytes = 2048\n";
        assertThat(problemTextOf(validText.replace("[callers]\nendpoint = 127.0.0.1:8080\n", limits)))
                .contains("buffered bytes 2048 must not be less than body bytes 4096");
    }

    @Example
    void aSecretInTheFileItselfIsRefusedWithoutPrintingIt() {
        String problems = problemTextOf(validText.replace("token = file:" + secret, "token = " + SECRET));
        assertThat(problems).contains("[admin] token: secret must be given as file:PATH or env:NAME");
        assertThat(problems).doesNotContain(SECRET);
    }

    @Example
    void aSecretIsNeverPrinted() {
        HostSettings settings = HostSettings.parse(validText);
        assertThat(settings.toString()).doesNotContain(SECRET);
        assertThat(settings.adminToken().bytes()).isEqualTo(SECRET.getBytes(java.nio.charset.StandardCharsets.UTF_8));
    }

    @Example
    void aPeerKeyThatIsTooShortIsRefusedWithoutPrintingIt() throws IOException {
        Files.writeString(secret, "brief");
        String problems = problemTextOf(validText);
        assertThat(problems).contains("[peers] key: the secret has fewer than 16 bytes");
        assertThat(problems).doesNotContain("brief");
    }

    @Example
    void anEmptySecretIsRefused() throws IOException {
        Files.writeString(secret, "\n");
        assertThat(problemTextOf(validText)).contains("[admin] token: file:" + secret + " is empty");
    }

    @Example
    void aMissingSecretFileIsRefused() {
        assertThat(problemTextOf(validText.replace("token = file:", "token = file:/nowhere")))
                .contains("cannot read /nowhere");
    }

    @Example
    void onlyCallsThatMatchARuleOfTheServiceAreRepeatable() {
        HostSettings settings = HostSettings.parse(validText + "[service desk]\nrepeatable = GET /stock, HEAD /\n");
        ServiceSettings desk = settings.services().get(ServiceName.of("desk"));
        assertThat(desk.isRepeatable("GET", "/stock/7")).isTrue();
        assertThat(desk.isRepeatable("POST", "/stock/7")).isFalse();
    }

    @Example
    void aTargetWithADotInItsNameKeepsItsValues() {
        HostSettings settings = HostSettings.parse(validText + "[target engine.1]\nendpoint = 127.0.0.1:7\nzone = b\n");
        assertThat(settings.targets()).hasSize(1);
        assertThat(settings.targets().get(0).endpoint()).isEqualTo(Endpoint.parse("127.0.0.1:7"));
    }

    @Example
    void aTargetWithoutAnEndpointIsRefused() {
        assertThat(problemTextOf(validText + "[target engine-1]\nzone = b\n"))
                .isEqualTo("[target engine-1] endpoint: missing");
    }

    @Example
    void everySettingHasASummaryAndAType() {
        for (Setting<?> setting : SettingKeys.all()) {
            assertThat(setting.summary().isBlank() || setting.type().isBlank()).isFalse();
        }
    }
}
