package org.boragebarrow.node.settings;

/**
 * One thing that is wrong with a settings file.
 *
 * @param line the line, from 1; 0 when the key is missing
 */
public record SettingsProblem(String section, String key, int line, String reason) {
    @Override
    public String toString() {
        String place = line > 0 ? "line " + line + ": " : "";
        return place + "[" + section + "] " + key + ": " + reason;
    }
}
