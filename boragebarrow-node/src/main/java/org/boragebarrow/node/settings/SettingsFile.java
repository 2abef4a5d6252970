package org.boragebarrow.node.settings;

import java.io.IOException;
import java.io.StringReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import com.google.common.base.Strings;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;

/** Reads values from an INI file and collects all problems, so that they are reported together. */
final class SettingsFile {
    private static final Comparator<SettingsProblem> BY_LINE =
            Comparator.comparingInt(problem -> problem.line() == 0 ? Integer.MAX_VALUE : problem.line());

    private final INIConfiguration ini = new INIConfiguration();
    private final Map<String, Integer> lineNumbers = new TreeMap<>();
    private final Set<String> readKeys = new HashSet<>();
    private final List<SettingsProblem> problems = new ArrayList<>();

    private SettingsFile() {}

    static SettingsFile parse(String text) {
        SettingsFile file = new SettingsFile();
        try {
            file.ini.read(new StringReader(text));
        } catch (ConfigurationException | IOException e) {
            file.problems.add(new SettingsProblem("", "", 0, "not an INI file: " + e.getMessage()));
        }
        file.indexLines(text);
        return file;
    }

    static SettingsFile read(Path path) throws IOException {
        return parse(Files.readString(path));
    }

    private void indexLines(String text) {
        String section = "";
        int number = 0;
        for (String line : text.lines().toList()) {
            number++;
            String trimmed = line.trim();
            if (trimmed.isEmpty() || trimmed.startsWith("#") || trimmed.startsWith(";")) {
                continue;
            }
            if (trimmed.startsWith("[") && trimmed.endsWith("]")) {
                section = trimmed.substring(1, trimmed.length() - 1).trim();
                continue;
            }
            int equals = trimmed.indexOf('=');
            String key = equals < 0 ? trimmed : trimmed.substring(0, equals).trim();
            Integer earlierLine = lineNumbers.putIfAbsent(qualifiedKey(section, key), number);
            if (earlierLine != null) {
                problems.add(new SettingsProblem(section, key, number, "already set in line " + earlierLine));
            }
        }
    }

    private static String qualifiedKey(String section, String key) {
        return section + "\n" + key;
    }

    /** Returns the names of all sections whose headings consist of the kind, a space and a name. */
    ImmutableSet<String> sectionNames(String kind) {
        return ini.getSections().stream()
                .filter(section -> section != null && section.startsWith(kind + " "))
                .map(section -> section.substring(kind.length() + 1).trim())
                .collect(ImmutableSet.toImmutableSet());
    }

    /** Returns the keys of a section, in alphabetical order. */
    ImmutableSet<String> keys(String section) {
        String prefix = qualifiedKey(section, "");
        return lineNumbers.keySet().stream()
                .filter(key -> key.startsWith(prefix))
                .map(key -> key.substring(prefix.length()))
                .collect(ImmutableSet.toImmutableSet());
    }

    /**
     * Returns the value; for a missing or invalid value records a problem and returns {@code fallback}. An empty value
     * counts as missing, as templates leave it where they have no value.
     */
    <T> T get(Setting<T> setting, T fallback) {
        return get(setting.section(), setting, fallback);
    }

    <T> T get(String section, Setting<T> setting, T fallback) {
        String qualifiedKey = qualifiedKey(section, setting.key());
        readKeys.add(qualifiedKey);
        SubnodeConfiguration values = ini.getSection(section);
        String text =
                Strings.emptyToNull(values.getString(escape(setting.key()), "").trim());
        int line = lineNumbers.getOrDefault(qualifiedKey, 0);
        if (text == null && setting.defaultText().isEmpty()) {
            problems.add(new SettingsProblem(section, setting.key(), line, "missing"));
            return fallback;
        }
        String value = text == null ? setting.defaultText().get() : text;
        try {
            return setting.parser().apply(value);
        } catch (IllegalArgumentException e) {
            problems.add(new SettingsProblem(section, setting.key(), line, e.getMessage()));
            return fallback;
        }
    }

    private static String escape(String key) {
        return key.replace(".", "..");
    }

    void addProblem(String section, String key, String reason) {
        problems.add(
                new SettingsProblem(section, key, lineNumbers.getOrDefault(qualifiedKey(section, key), 0), reason));
    }

    /** Throws {@link SettingsException} if there are any problems, including keys that were never read. */
    void throwIfInvalid() {
        for (Map.Entry<String, Integer> line : lineNumbers.entrySet()) {
            if (readKeys.contains(line.getKey())) {
                continue;
            }
            Iterator<String> parts = line.getKey().lines().iterator();
            problems.add(new SettingsProblem(parts.next(), parts.next(), line.getValue(), "unknown key"));
        }
        if (!problems.isEmpty()) {
            throw new SettingsException(ImmutableList.sortedCopyOf(BY_LINE, problems));
        }
    }
}
