package org.boragebarrow.node.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.OptionalInt;

import com.google.common.base.Splitter;
import com.google.common.collect.Iterables;
import com.google.common.primitives.Ints;
import org.boragebarrow.http.server.MemoryAccount;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * What one process may use, and how it is divided among the doors of a host.
 *
 * @param descriptors the files and sockets that may be open
 * @param heapBytes the maximum size of the heap
 * @param requestMemory the bytes that callers' requests may hold together
 */
public record ProcessLimits(int descriptors, long heapBytes, long requestMemory) {
    private static final int MAX_CALLER_CONNECTIONS = 3_000;
    private static final int MAX_INTERNAL_CONNECTIONS = 64;
    private static final int MIN_INTERNAL_CONNECTIONS = 4;
    private static final int MAX_STRANGERS = 512;

    /** A third is for callers, as much for connections to targets, and the rest for hosts, the store, files and operators. */
    private static final int CALLER_DIVISOR = 3;

    /** Connections to each of the doors for readiness, metrics and operators. */
    private static final int INTERNAL_DIVISOR = 50;

    private static final int STRANGER_DIVISOR = 16;

    /** A quarter is for responses of targets; with half of it for requests, a quarter is left. */
    private static final int RESPONSE_DIVISOR = 4;

    /** A connection occupies up to 8 KiB besides its requests; all together have a quarter of the heap. */
    private static final int HEAP_BYTES_PER_CONNECTION = 32 << 10;

    /** A platform may allow fewer descriptors than the operating system; the smallest machines have these. */
    private static final int DEFAULT_DESCRIPTORS = 4_096;

    private static final Path OWN_LIMITS = Path.of("/proc/self/limits");
    private static final String DESCRIPTOR_LIMIT = "Max open files";
    private static final int SOFT_LIMIT_COLUMN = 3;

    public ProcessLimits {
        checkArgument(descriptors > 0, "descriptors must be positive: %s", descriptors);
        checkArgument(
                requestMemory <= heapBytes / 2,
                "%s bytes for requests are more than half of the heap of %s bytes",
                requestMemory,
                heapBytes);
    }

    /**
     * Returns the limits of this process.
     *
     * @param configuredDescriptors the descriptors that the settings allow, which go before the limit of the operating
     *     system, as a platform may count only some of them there; 0 for the default
     * @param configuredMemory the bytes that the settings allow requests to hold; 0 for what the heap has room for
     * @throws IllegalArgumentException if the memory does not fit into the heap
     */
    static ProcessLimits of(int configuredDescriptors, long configuredMemory) {
        int descriptors = configuredDescriptors > 0
                ? configuredDescriptors
                : Math.min(DEFAULT_DESCRIPTORS, ownDescriptors().orElse(DEFAULT_DESCRIPTORS));
        long heapBytes = Runtime.getRuntime().maxMemory();
        long memory = configuredMemory == 0 ? MemoryAccount.limitOfHeap(heapBytes) : configuredMemory;
        return new ProcessLimits(descriptors, heapBytes, memory);
    }

    private static OptionalInt ownDescriptors() {
        try {
            for (String line : Files.readAllLines(OWN_LIMITS)) {
                if (line.startsWith(DESCRIPTOR_LIMIT)) {
                    Integer limit = Ints.tryParse(
                            Iterables.get(Splitter.on(' ').omitEmptyStrings().split(line), SOFT_LIMIT_COLUMN));
                    return limit == null ? OptionalInt.empty() : OptionalInt.of(limit);
                }
            }
        } catch (IOException e) {
            // Not every system has this file.
        }
        return OptionalInt.empty();
    }

    /** Returns the bytes that responses of targets may hold together. */
    public long responseMemory() {
        return heapBytes / RESPONSE_DIVISOR;
    }

    /** Returns the maximum number of callers' connections. */
    public int callerConnections() {
        long byHeap = heapBytes / HEAP_BYTES_PER_CONNECTION;
        return (int) Math.clamp(Math.min(byHeap, descriptors / CALLER_DIVISOR), 1, MAX_CALLER_CONNECTIONS);
    }

    /** Returns the maximum number of connections to each door that only the platform and operators use. */
    public int internalConnections() {
        return Math.clamp(descriptors / INTERNAL_DIVISOR, MIN_INTERNAL_CONNECTIONS, MAX_INTERNAL_CONNECTIONS);
    }

    /** Returns the maximum number of connections of hosts that have not proved their identity yet. */
    public int strangers() {
        return Math.clamp(descriptors / STRANGER_DIVISOR, 1, MAX_STRANGERS);
    }
}
