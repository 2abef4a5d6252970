package org.boragebarrow.node.settings;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Function;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * One key of the settings file.
 *
 * @param type the type, unit and range, for operators to read
 * @param defaultText the value when the key is missing; empty when the key is required
 * @param parser turns the text into the value; throws {@link IllegalArgumentException} with the reason
 */
public record Setting<T>(
        String section,
        String key,
        String type,
        Optional<String> defaultText,
        String summary,
        Function<String, T> parser) {
    private static final Splitter LIST = Splitter.on(',').trimResults().omitEmptyStrings();

    static Setting<String> text(String section, String key, String type, Optional<String> byDefault, String summary) {
        return new Setting<>(section, key, type, byDefault, summary, Function.identity());
    }

    static <T> Setting<T> of(
            String section, String key, String type, String byDefault, String summary, Function<String, T> parser) {
        return new Setting<>(section, key, type, Optional.of(byDefault), summary, parser);
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
            String section, String key, String unit, int byDefault, int least, int most, String summary) {
        String type = "integer, " + unit + ", " + least + " to " + most;
        return of(section, key, type, Integer.toString(byDefault), summary, text -> parse(text, least, most));
    }

    static Setting<Duration> millis(String section, String key, int byDefault, int least, int most, String summary) {
        String type = "duration, milliseconds, " + least + " to " + most;
        return of(
                section,
                key,
                type,
                Integer.toString(byDefault),
                summary,
                text -> Duration.ofMillis(parse(text, least, most)));
    }

    private static int parse(String text, int least, int most) {
        int value;
        try {
            value = Integer.parseInt(text);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("not a whole number: \"" + text + "\"", e);
        }
        checkArgument(value >= least && value <= most, "%s is not within %s to %s", value, least, most);
        return value;
    }
}
