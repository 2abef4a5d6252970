package org.boragebarrow.standins;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Function;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Endpoint;

import static com.google.common.base.Preconditions.checkArgument;

/** One section of an INI file. Records the keys that were read, so that unknown settings can be rejected. */
final class Section {
    private final String name;
    private final SubnodeConfiguration configuration;
    private final Set<String> readKeys = new HashSet<>();

    Section(String name, SubnodeConfiguration configuration) {
        this.name = name;
        this.configuration = configuration;
    }

    String name() {
        return name;
    }

    /**
     * Returns the text of a required setting.
     *
     * @throws IllegalArgumentException if it is missing or empty
     */
    String text(String key) {
        String value = text(key, "");
        checkArgument(!value.isEmpty(), "[%s] lacks %s", name, key);
        return value;
    }

    String text(String key, String defaultValue) {
        readKeys.add(key);
        return configuration.getString(key, defaultValue).trim();
    }

    int intValue(String key, int defaultValue) {
        return parse(key, defaultValue, Integer::parseInt);
    }

    long longValue(String key, long defaultValue) {
        return parse(key, defaultValue, Long::parseLong);
    }

    double doubleValue(String key, double defaultValue) {
        return parse(key, defaultValue, Double::parseDouble);
    }

    Duration millis(String key, Duration defaultValue) {
        return parse(key, defaultValue, text -> Duration.ofMillis(Long.parseLong(text)));
    }

    Duration micros(String key, Duration defaultValue) {
        return parse(key, defaultValue, text -> Duration.ofNanos(Math.multiplyExact(Long.parseLong(text), 1_000)));
    }

    boolean booleanValue(String key, boolean defaultValue) {
        String value = text(key, Boolean.toString(defaultValue));
        checkArgument(
                value.equals("true") || value.equals("false"), "[%s] %s must be true or false: %s", name, key, value);
        return value.equals("true");
    }

    Endpoint endpoint() {
        return Endpoint.parse(text("endpoint"));
    }

    AvailabilityZoneId zone() {
        return AvailabilityZoneId.of(text("zone"));
    }

    void checkNoUnknownKeys() {
        Set<String> unknown = Sets.difference(ImmutableSet.copyOf(configuration.getKeys()), readKeys);
        checkArgument(unknown.isEmpty(), "[%s] has unknown settings: %s", name, unknown);
    }

    private <T> T parse(String key, T defaultValue, Function<String, T> parser) {
        String value = text(key, "");
        if (value.isEmpty()) {
            return defaultValue;
        }
        try {
            return parser.apply(value);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("[" + name + "] " + key + " is not a number: " + value, e);
        }
    }
}
