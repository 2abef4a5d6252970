package org.boragebarrow.decision.member;

import java.util.Arrays;

import static com.google.common.base.Preconditions.checkArgument;

/** Immutable, opaque bytes that digests carry. */
public final class Payload {
    /** The maximum size of a payload in bytes, which keeps digests small. */
    public static final int MAX_BYTES = 16_384;

    private final byte[] bytes;

    private Payload(byte[] bytes) {
        this.bytes = bytes;
    }

    /** Returns a payload with a copy of the bytes. */
    public static Payload copyOf(byte[] bytes) {
        checkArgument(bytes.length <= MAX_BYTES, "payload of %s bytes exceeds %s", bytes.length, MAX_BYTES);
        return new Payload(bytes.clone());
    }

    /** Returns a copy of the bytes. */
    public byte[] toByteArray() {
        return bytes.clone();
    }

    /** Returns the size in bytes. */
    public int size() {
        return bytes.length;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Payload payload && Arrays.equals(bytes, payload.bytes);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(bytes);
    }

    @Override
    public String toString() {
        return "Payload{" + bytes.length + " bytes}";
    }
}
