package org.boragebarrow.ctl.load;

import java.io.IOException;
import java.io.StringReader;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

import com.google.common.collect.ImmutableList;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;

/** Reads values from an INI file and collects all problems, to report them at once. */
final class ScenarioFile {
    private static final Function<Object, String> TO_TEXT = String::valueOf;

    private final INIConfiguration ini = new INIConfiguration();
    private final Set<SectionKey> readKeys = new HashSet<>();
    private final Set<String> readSections = new HashSet<>();
    private final List<ScenarioProblem> problems = new ArrayList<>();

    private record SectionKey(String section, String key) {}

    private ScenarioFile() {}

    static ScenarioFile parse(String text) {
        ScenarioFile file = new ScenarioFile();
        try {
            file.ini.read(new StringReader(text));
        } catch (ConfigurationException | IOException e) {
            file.report("", "", "not an INI file: " + e.getMessage());
        }
        return file;
    }

    void report(String section, String key, String reason) {
        problems.add(new ScenarioProblem(section, key, reason));
    }

    /** Returns the names of the sections of a kind, whose headings are {@code [KIND NAME]}. */
    ImmutableList<String> sectionNames(String kind) {
        String prefix = kind + " ";
        ImmutableList.Builder<String> names = ImmutableList.builder();
        for (String section : ini.getSections()) {
            if (section != null && section.startsWith(prefix)) {
                names.add(section.substring(prefix.length()).trim());
            }
        }
        return names.build();
    }

    /**
     * Returns the value.
     *
     * <p>If it is missing or invalid, reports a problem and returns the fallback, so that reading continues.
     */
    <T> T required(String section, String key, T fallback, Function<String, T> parser) {
        Optional<String> text = text(section, key);
        if (text.isEmpty()) {
            report(section, key, "missing");
            return fallback;
        }
        return parseOrReport(section, key, text.get(), fallback, parser);
    }

    /** Returns the value, or the default if it is not set or, after reporting a problem, if it is invalid. */
    <T> T optional(String section, String key, T defaultValue, Function<String, T> parser) {
        return text(section, key)
                .map(text -> parseOrReport(section, key, text, defaultValue, parser))
                .orElse(defaultValue);
    }

    private <T> T parseOrReport(String section, String key, String text, T fallback, Function<String, T> parser) {
        try {
            return parser.apply(text);
        } catch (IllegalArgumentException e) {
            report(section, key, e.getMessage());
            return fallback;
        }
    }

    private Optional<String> text(String section, String key) {
        readKeys.add(new SectionKey(section, key));
        readSections.add(section);
        List<Object> values = ini.getSection(section).getList(key);
        if (values.size() > 1) {
            report(section, key, "set more than once");
        }
        return values.stream().findFirst().map(TO_TEXT).map(String::trim);
    }

    /**
     * Checks that there were no problems; sections and keys that were not read are problems, too.
     *
     * @throws ScenarioException with all problems
     */
    void throwIfInvalid() {
        for (String section : ini.getSections()) {
            reportUnknownKeys(section == null ? "" : section);
        }
        if (!problems.isEmpty()) {
            throw new ScenarioException(ImmutableList.copyOf(problems));
        }
    }

    private void reportUnknownKeys(String section) {
        if (!readSections.contains(section)) {
            report(section, "", "unknown section");
            return;
        }
        SubnodeConfiguration values = ini.getSection(section);
        for (Iterator<String> keys = values.getKeys(); keys.hasNext(); ) {
            String key = keys.next();
            if (!readKeys.contains(new SectionKey(section, key))) {
                report(section, key, "unknown key");
            }
        }
    }
}
