package org.boragebarrow.ctl.load;

import java.util.random.RandomGenerator;

import com.google.common.primitives.Ints;

import static com.google.common.base.Preconditions.checkArgument;

/** A closed range of token counts. */
public record TokenRange(int min, int max) {
    private static final String DOTS = "..";

    public TokenRange {
        checkArgument(min > 0 && max >= min, "not a range of positive numbers: %s..%s", min, max);
    }

    /** Parses {@code MIN..MAX} or a single number. */
    static TokenRange parse(String text) {
        int separator = text.indexOf(DOTS);
        if (separator < 0) {
            return new TokenRange(number(text), number(text));
        }
        return new TokenRange(number(text.substring(0, separator)), number(text.substring(separator + DOTS.length())));
    }

    private static int number(String text) {
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
