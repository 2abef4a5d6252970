package org.boragebarrow.ctl.load;

import java.util.random.RandomGenerator;

import com.google.common.primitives.Ints;

import static com.google.common.base.Preconditions.checkArgument;

/** A closed range of token counts. */
public record TokenRange(int min, int max) {
    private static final String SEPARATOR = "..";

    public TokenRange {
        checkArgument(min > 0 && max >= min, "not a range of positive numbers: %s..%s", min, max);
    }

    /** Parses {@code MIN..MAX} or a single number. */
    static TokenRange parse(String text) {
        int separator = text.indexOf(SEPARATOR);
        if (separator < 0) {
            return new TokenRange(parseCount(text), parseCount(text));
        }
        return new TokenRange(
                parseCount(text.substring(0, separator)), parseCount(text.substring(separator + SEPARATOR.length())));
    }

    private static int parseCount(String text) {
        Integer number = Ints.tryParse(text.trim());
        checkArgument(number != null, "not a whole number: \"%s\"", text.trim());
        return number;
    }

    /** Draws a count from the log-uniform distribution over the range. */
    int draw(RandomGenerator random) {
        double exponent = random.nextDouble() * Math.log((double) max / min);
        return Math.clamp(Math.round(min * Math.exp(exponent)), min, max);
    }
}
