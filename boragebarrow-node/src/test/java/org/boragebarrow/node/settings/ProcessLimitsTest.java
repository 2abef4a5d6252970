package org.boragebarrow.node.settings;

import net.jqwik.api.Example;

import static com.google.common.truth.Truth.assertThat;

class ProcessLimitsTest {
    private static final long HEAP = 96L << 20;

    @Example
    void theDoorsLeaveDescriptorsForTargetsHostsAndTheStore() {
        for (int descriptors : new int[] {200, 4_100, 8_192}) {
            ProcessLimits limits = new ProcessLimits(descriptors, 1L << 40, 1);
            int doors = limits.callerConnections() + 3 * limits.internalConnections() + limits.strangers();

            assertThat(doors).isLessThan(descriptors / 2);
        }
    }

    @Example
    void aSmallHeapHasFewerConnections() {
        assertThat(new ProcessLimits(8_192, HEAP, 1).callerConnections()).isLessThan(3_000);
        assertThat(new ProcessLimits(8_192, HEAP / 4, 1).callerConnections()).isAtMost(768);
    }

    @Example
    void memoryThatDoesNotFitIntoTheHeapIsRefusedWithBothFigures() {
        String message = "";
        try {
            new ProcessLimits(4_100, HEAP, HEAP);
        } catch (IllegalArgumentException e) {
            message = e.getMessage();
        }

        assertThat(message).isEqualTo("100663296 bytes for requests are more than half of the heap of 100663296 bytes");
    }

    @Example
    void descriptorsAreNoMoreThanTheProcessMayHave() {
        assertThat(ProcessLimits.of(0, 0).descriptors()).isAtLeast(1);
        assertThat(ProcessLimits.of(150, 0).descriptors()).isEqualTo(150);
    }

    /** Guards against a platform whose processes have few files by the operating system, and many sockets beside them. */
    @Example
    void configuredDescriptorsGoBeforeTheLimitOfTheOperatingSystem() {
        assertThat(ProcessLimits.of(5_000_000, 0).descriptors()).isEqualTo(5_000_000);
    }
}
