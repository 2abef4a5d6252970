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
     * Reads a secret from a source, {@code file:PATH} or {@code env:NAME}.
     *
     * @throws IllegalArgumentException if the text names no source, or the source cannot be read or is empty
     */
    static Secret parse(String source) {
        String text = read(source).strip();
        checkArgument(!text.isEmpty(), "%s is empty", source);
        return new Secret(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String read(String source) {
        if (source.startsWith(FILE)) {
            Path path = Path.of(source.substring(FILE.length()));
            try {
                return Files.readString(path);
            } catch (IOException e) {
                throw new IllegalArgumentException("cannot read " + path, e);
            }
        }
        if (source.startsWith(ENVIRONMENT)) {
            String value = System.getenv(source.substring(ENVIRONMENT.length()));
            checkArgument(value != null, "%s is not set", source);
            return value;
        }
        throw new IllegalArgumentException("secret must be given as file:PATH or env:NAME");
    }

    /**
     * Returns this secret, which must have the given number of bytes or more.
     *
     * @throws IllegalArgumentException if it is shorter
     */
    Secret requireMinBytes(int length) {
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
