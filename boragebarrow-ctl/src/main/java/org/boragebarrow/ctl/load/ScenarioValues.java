package org.boragebarrow.ctl.load;

import java.time.Duration;
import java.util.Locale;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.primitives.Doubles;
import com.google.common.primitives.Ints;
import com.google.common.primitives.Longs;
import org.boragebarrow.model.Endpoint;

import static com.google.common.base.Preconditions.checkArgument;

/** Parsers of scenario values; each throws {@link IllegalArgumentException} with the reason if the value is invalid. */
final class ScenarioValues {
    private static final Splitter LIST_SPLITTER = Splitter.on(',').trimResults().omitEmptyStrings();

    private ScenarioValues() {}

    static double positive(String text) {
        double value = nonNegative(text);
        checkArgument(value > 0, "must be positive: %s", text);
        return value;
    }

    static double nonNegative(String text) {
        Double value = Doubles.tryParse(text);
        checkArgument(value != null && value >= 0 && Double.isFinite(value), "not a non-negative number: \"%s\"", text);
        return value;
    }

    static double fraction(String text) {
        double value = nonNegative(text);
        checkArgument(value <= 1, "not between 0 and 1: %s", text);
        return value;
    }

    static int positiveInteger(String text) {
        Integer value = Ints.tryParse(text);
        checkArgument(value != null && value > 0, "not a positive whole number: \"%s\"", text);
        return value;
    }

    static long wholeNumber(String text) {
        Long value = Longs.tryParse(text);
        checkArgument(value != null, "not a whole number: \"%s\"", text);
        return value;
    }

    static Duration millis(String text) {
        return Duration.ofMillis(positiveInteger(text));
    }

    static Duration seconds(String text) {
        return Duration.ofNanos(Rate.nanos(nonNegative(text)));
    }

    static boolean flag(String text) {
        String lowerCase = text.toLowerCase(Locale.ROOT);
        checkArgument(lowerCase.equals("true") || lowerCase.equals("false"), "neither true nor false: \"%s\"", text);
        return lowerCase.equals("true");
    }

    static ImmutableList<Endpoint> endpoints(String text) {
        return LIST_SPLITTER.splitToStream(text).map(Endpoint::parse).collect(ImmutableList.toImmutableList());
    }

    static ImmutableSet<String> names(String text) {
        return ImmutableSet.copyOf(LIST_SPLITTER.split(text));
    }

    static String path(String text) {
        checkArgument(text.startsWith("/"), "must start with a slash: \"%s\"", text);
        return text;
    }
}
