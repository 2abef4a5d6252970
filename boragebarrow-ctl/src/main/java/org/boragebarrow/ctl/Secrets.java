package org.boragebarrow.ctl;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import com.google.common.base.CharMatcher;

import static com.google.common.base.Preconditions.checkArgument;

/** Static functions that read secrets from where an operator keeps them. */
public final class Secrets {
    private static final String FILE = "file:";
    private static final String ENVIRONMENT = "env:";

    private Secrets() {}

    /**
     * Reads a secret.
     *
     * @param place {@code file:PATH} or {@code env:NAME}
     * @throws IllegalArgumentException if the place has another form or holds no secret
     */
    public static String read(String place) {
        String secret = raw(place).strip();
        checkArgument(!secret.isEmpty(), "%s is empty", place);
        checkArgument(CharMatcher.inRange('!', '~').matchesAllOf(secret), "%s holds more than one word", place);
        return secret;
    }

    private static String raw(String place) {
        if (place.startsWith(FILE)) {
            Path path = Path.of(place.substring(FILE.length()));
            try {
                return Files.readString(path);
            } catch (IOException e) {
                throw new IllegalArgumentException("cannot read " + path + ": " + e, e);
            }
        }
        checkArgument(place.startsWith(ENVIRONMENT), "a secret is named as file:PATH or env:NAME");
        String value = System.getenv(place.substring(ENVIRONMENT.length()));
        checkArgument(value != null, "%s is not set", place);
        return value;
    }
}
