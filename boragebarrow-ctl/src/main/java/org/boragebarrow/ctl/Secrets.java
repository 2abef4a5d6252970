package org.boragebarrow.ctl;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import com.google.common.base.CharMatcher;

import static com.google.common.base.Preconditions.checkArgument;

/** Static functions that read secrets from files and environment variables. */
public final class Secrets {
    private static final String FILE = "file:";
    private static final String ENVIRONMENT = "env:";

    private Secrets() {}

    /**
     * Reads a secret and strips the white space around it.
     *
     * @param source {@code file:PATH} or {@code env:NAME}
     * @throws IllegalArgumentException if the source has another form, can't be read, or holds no secret of
     *     printable ASCII characters without spaces
     */
    public static String read(String source) {
        String secret = readUnstripped(source).strip();
        checkArgument(!secret.isEmpty(), "%s is empty", source);
        checkArgument(
                CharMatcher.inRange('!', '~').matchesAllOf(secret),
                "%s contains a space or a character that is not printable ASCII",
                source);
        return secret;
    }

    private static String readUnstripped(String source) {
        if (source.startsWith(FILE)) {
            Path path = Path.of(source.substring(FILE.length()));
            try {
                return Files.readString(path);
            } catch (IOException e) {
                throw new IllegalArgumentException("cannot read " + path + ": " + e, e);
            }
        }
        checkArgument(source.startsWith(ENVIRONMENT), "secret must be given as file:PATH or env:NAME");
        String value = System.getenv(source.substring(ENVIRONMENT.length()));
        checkArgument(value != null, "%s is not set", source);
        return value;
    }
}
