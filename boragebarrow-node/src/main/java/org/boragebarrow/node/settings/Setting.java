package org.boragebarrow.node.settings;

import java.math.BigDecimal;
import java.math.RoundingMode;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Function;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A key of the settings file.
 *
 * @param type a description of the type, unit and range, for operators
 * @param defaultText the text of the value if the key is missing; empty if the key is required
 * @param parser converts the text to the value; throws {@link IllegalArgumentException} if the text is invalid
 */
public record Setting<T>(
        String section,
        String key,
        String type,
        Optional<String> defaultText,
        String summary,
        Function<String, T> parser) {
    /** Decimal digits between seconds and milliseconds. */
    private static final int MILLIS_DIGITS = 3;

    private static final Splitter LIST = Splitter.on(',').trimResults().omitEmptyStrings();

    static Setting<String> text(String section, String key, String type, Optional<String> defaultText, String summary) {
        return new Setting<>(section, key, type, defaultText, summary, Function.identity());
    }

    static <T> Setting<T> of(
            String section, String key, String type, String defaultText, String summary, Function<String, T> parser) {
        return new Setting<>(section, key, type, Optional.of(defaultText), summary, parser);
    }

    static <T> Setting<T> required(
            String section, String key, String type, String summary, Function<String, T> parser) {
        return new Setting<>(section, key, type, Optional.empty(), summary, parser);
    }

    static <T> Setting<ImmutableList<T>> list(
            String section, String key, String type, String summary, Function<String, T> parser) {
        return of(
                section,
                key,
                type,
                "",
                summary,
                text -> LIST.splitToStream(text).map(parser).collect(ImmutableList.toImmutableList()));
    }

    static Setting<Integer> integer(
            String section, String key, String unit, int defaultValue, int min, int max, String summary) {
        String type = "integer, " + unit + ", " + min + " to " + max;
        return of(section, key, type, Integer.toString(defaultValue), summary, text -> parseInteger(text, min, max));
    }

    static Setting<Duration> millis(String section, String key, int defaultValue, int min, int max, String summary) {
        String type = "duration, milliseconds, " + min + " to " + max;
        return of(
                section,
                key,
                type,
                Integer.toString(defaultValue),
                summary,
                text -> Duration.ofMillis(parseInteger(text, min, max)));
    }

    /**
     * Returns a setting of a duration in seconds, which may have a fraction.
     *
     * @param rounding how a fraction of a millisecond is rounded
     */
    static Setting<Duration> seconds(
            String section,
            String key,
            String defaultText,
            double min,
            double max,
            RoundingMode rounding,
            String summary) {
        String type = "duration, seconds, " + plain(min) + " to " + plain(max);
        return of(
                section,
                key,
                type,
                defaultText,
                summary,
                text -> Duration.ofMillis(parseDecimal(text, min, max)
                        .movePointRight(MILLIS_DIGITS)
                        .setScale(0, rounding)
                        .longValueExact()));
    }

    /** Returns a setting of a number that may have a fraction. */
    static Setting<BigDecimal> number(
            String section, String key, String unit, String defaultText, double min, double max, String summary) {
        String type = "number, " + (unit.isEmpty() ? "" : unit + ", ") + plain(min) + " to " + plain(max);
        return of(section, key, type, defaultText, summary, text -> parseDecimal(text, min, max));
    }

    private static BigDecimal parseDecimal(String text, double min, double max) {
        BigDecimal value;
        try {
            value = new BigDecimal(text);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("not a number: \"" + text + "\"", e);
        }
        boolean isInRange =
                value.compareTo(BigDecimal.valueOf(min)) >= 0 && value.compareTo(BigDecimal.valueOf(max)) <= 0;
        checkArgument(isInRange, "%s is not within %s to %s", text, plain(min), plain(max));
        return value;
    }

    private static String plain(double bound) {
        return BigDecimal.valueOf(bound).stripTrailingZeros().toPlainString();
    }

    private static int parseInteger(String text, int min, int max) {
        int value;
        try {
            value = Integer.parseInt(text);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("not a whole number: \"" + text + "\"", e);
        }
        checkArgument(value >= min && value <= max, "%s is not within %s to %s", value, min, max);
        return value;
    }
}
