package org.boragebarrow.node.settings;

import net.jqwik.api.Example;

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
}
