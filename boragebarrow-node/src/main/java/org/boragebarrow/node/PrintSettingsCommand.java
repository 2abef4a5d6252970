package org.boragebarrow.node;

import com.github.rvesse.airline.annotations.Command;
import org.boragebarrow.node.settings.Setting;
import org.boragebarrow.node.settings.SettingKeys;

/** Prints an annotated settings file with all settings and their defaults. */
@Command(name = "print-settings", description = "Prints an annotated settings file with all defaults")
public final class PrintSettingsCommand implements Runnable {
    @Override
    public void run() {
        System.out.print(annotatedSettings());
    }

    static String annotatedSettings() {
        StringBuilder text = new StringBuilder();
        String section = "";
        for (Setting<?> setting : SettingKeys.all()) {
            if (!setting.section().equals(section)) {
                section = setting.section();
                text.append("\n[").append(section).append("]\n");
            }
            text.append("# ")
                    .append(setting.summary())
                    .append(" (")
                    .append(setting.type())
                    .append(")\n");
            text.append(setting.defaultText().isPresent() ? "" : "# required: ");
            text.append(setting.key())
                    .append(" = ")
                    .append(setting.defaultText().orElse(""))
                    .append('\n');
        }
        return text.toString();
    }
}
