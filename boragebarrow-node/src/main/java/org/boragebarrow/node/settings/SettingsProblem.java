package org.boragebarrow.node.settings;

/**
 * A problem in a settings file.
 *
 * @param line the number of the line, from 1; 0 if the key is missing
 */
public record SettingsProblem(String section, String key, int line, String reason) {
    @Override
    public String toString() {
        String location = line > 0 ? "line " + line + ": " : "";
        return location + "[" + section + "] " + key + ": " + reason;
    }
}
