package org.boragebarrow.node.settings;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;

import net.jqwik.api.Example;
import org.boragebarrow.model.Endpoint;

import static com.google.common.truth.Truth.assertThat;

class RelaySettingsTest {
    private static final String OTHER_SECTIONS = """
            [callers]
            endpoint = 127.0.0.1:1
            [readiness]
            endpoint = 127.0.0.1:2
            [metrics]
            endpoint = 127.0.0.1:3
            [peers]
            endpoint = 127.0.0.1:4
            [store]
            endpoint = 127.0.0.1:5
            """;

    private static RelaySettings settings(String processor) {
        return RelaySettings.parse("[host]\nid = host\nzone = zone\n" + processor + OTHER_SECTIONS);
    }

    @Example
    void aHostWithoutProcessorSettingsHasOneCore() {
        assertThat(settings("").centicores()).isEqualTo(100);
    }

    @Example
    void theCapacityIsTheShareTimesTheCores() {
        assertThat(settings("cpu-share = 0.36\ncores = 1\n").centicores()).isEqualTo(36);
        assertThat(settings("cpu-share = 1.5\ncores = 2\n").centicores()).isEqualTo(300);
    }

    @Example
    void aNegativeNumberOfCoresIsRefusedWithItsValue() {
        try {
            settings("cores = -1\n");
            throw new AssertionError("a negative number of cores was accepted");
        } catch (SettingsException e) {
            assertThat(e).hasMessageThat().contains("-1");
        }
    }

    @Example
    void ranksAreSentToTargetsUnlessTheSettingsSayOtherwise() {
        assertThat(settings("").sendsRanks()).isTrue();
        assertThat(settings("[targets]\nsend-ranks = no\n").sendsRanks()).isFalse();
        try {
            settings("[targets]\nsend-ranks = perhaps\n");
            throw new AssertionError("an unknown word was accepted");
        } catch (SettingsException e) {
            assertThat(e).hasMessageThat().contains("perhaps");
        }
    }

    @Example
    void operatorsHaveNoEndpointUnlessItIsSetWithAToken() throws Exception {
        assertThat(settings("").admin()).isEmpty();
        Path token = Files.createTempFile("token", "");
        Files.writeString(token, "secret");
        try {
            assertThat(settings("[admin]\nendpoint = 127.0.0.1:6\ntoken = file:" + token + "\n")
                            .admin()
                            .map(RelaySettings.Admin::endpoint))
                    .hasValue(Endpoint.parse("127.0.0.1:6"));
        } finally {
            Files.delete(token);
        }
        try {
            settings("[admin]\nendpoint = 127.0.0.1:6\n");
            throw new AssertionError("an endpoint without a token was accepted");
        } catch (SettingsException e) {
            assertThat(e).hasMessageThat().contains("token");
        }
    }

    @Example
    void theDurationOfAQuarantineHasADefaultAndBounds() {
        assertThat(settings("").quarantineDuration()).isEqualTo(Duration.ofHours(1));
        try {
            settings("[quarantine]\nminutes = 0\n");
            throw new AssertionError("a quarantine of no time was accepted");
        } catch (SettingsException e) {
            assertThat(e).hasMessageThat().contains("minutes");
        }
    }

    @Example
    void figuresMayHaveFractionsAndAreNeverRoundedBeyondTheirBounds() {
        RelaySettings settings = settings("""
                [stopping]
                grace-s = 8.0019
                [repeats]
                allowance = 41.935483870967744
                window-s = 9.0001
                ratio = 1.25
                """);

        assertThat(settings.shutdownGrace()).isEqualTo(Duration.ofMillis(8_001));
        assertThat(settings.retrySlack()).isEqualTo(41);
        assertThat(settings.retryWindow()).isEqualTo(Duration.ofMillis(9_001));
        assertThat(settings.retryRatio()).isEqualTo(1.25);
    }

    @Example
    void wholeFiguresAreReadInAnyNotation() {
        for (String text : new String[] {"20", "20.0", "2e1"}) {
            RelaySettings settings =
                    settings("[stopping]\ngrace-s = " + text + "\n[repeats]\nallowance = " + text + "\n");

            assertThat(settings.shutdownGrace()).isEqualTo(Duration.ofSeconds(20));
            assertThat(settings.retrySlack()).isEqualTo(20);
        }
    }

    @Example
    void figuresWithoutAValueHaveTheirDefaults() {
        RelaySettings settings =
                settings("cpu-share =\n[stopping]\ngrace-s =\n[repeats]\nallowance =\nwindow-s =\nratio =\n");

        assertThat(settings).isEqualTo(settings(""));
    }

    @Example
    void zeroIsAllowedWhereItMeansNone() {
        RelaySettings settings = settings("[stopping]\ngrace-s = 0\n[repeats]\nallowance = 0\nratio = 0\n");

        assertThat(settings.shutdownGrace()).isEqualTo(Duration.ZERO);
        assertThat(settings.retrySlack()).isEqualTo(0);
        assertThat(settings.retryRatio()).isEqualTo(0);
    }

    @Example
    void aFigureOutOfItsRangeIsRefusedWithKeyValueAndRange() {
        assertRefused("[repeats]\nallowance = 3000000000\n", "allowance", "3000000000", "0 to 1000000000");
        assertRefused("[repeats]\nallowance = -0.5\n", "allowance", "-0.5", "0 to 1000000000");
        assertRefused("[repeats]\nwindow-s = 0\n", "window-s", "0", "0.1 to 3600");
        assertRefused("[stopping]\ngrace-s = 1e30\n", "grace-s", "1e30", "0 to 3600");
        assertRefused("[stopping]\ngrace-s = NaN\n", "grace-s", "NaN");
    }

    private static void assertRefused(String text, String... expected) {
        try {
            settings(text);
            throw new AssertionError("accepted: " + text);
        } catch (SettingsException e) {
            for (String part : expected) {
                assertThat(e).hasMessageThat().contains(part);
            }
        }
    }
}
