package org.boragebarrow.node.settings;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

import static com.google.common.base.Preconditions.checkArgument;

/** A secret that is read from a file or the environment and never printed. */
public final class Secret {
    private static final String FILE = "file:";
    private static final String ENVIRONMENT = "env:";

    private final byte[] bytes;

    private Secret(byte[] bytes) {
        this.bytes = bytes;
    }

    /**
     * Reads a secret from where the text says.
     *
     * @throws IllegalArgumentException if the text names no place or the place holds nothing
     */
    static Secret parse(String place) {
        String text = read(place).strip();
        checkArgument(!text.isEmpty(), "%s is empty", place);
        return new Secret(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String read(String place) {
        if (place.startsWith(FILE)) {
            Path path = Path.of(place.substring(FILE.length()));
            try {
                return Files.readString(path);
            } catch (IOException e) {
                throw new IllegalArgumentException("cannot read " + path, e);
            }
        }
        if (place.startsWith(ENVIRONMENT)) {
            String value = System.getenv(place.substring(ENVIRONMENT.length()));
            checkArgument(value != null, "%s is not set", place);
            return value;
        }
        throw new IllegalArgumentException("a secret is named as file:PATH or env:NAME");
    }

    /**
     * Returns this secret.
     *
     * @throws IllegalArgumentException if it is shorter
     */
    Secret atLeast(int length) {
        checkArgument(bytes.length >= length, "the secret has fewer than %s bytes", length);
        return this;
    }

    /** Returns a copy of the secret's bytes. */
    public byte[] bytes() {
        return bytes.clone();
    }

    @Override
    public String toString() {
        return "(secret)";
    }
}
