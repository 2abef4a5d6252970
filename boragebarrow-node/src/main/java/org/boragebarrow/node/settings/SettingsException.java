package org.boragebarrow.node.settings;

import com.google.common.base.Joiner;
import com.google.common.collect.ImmutableList;

/** Reports everything that is wrong with a settings file at once. */
public final class SettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient ImmutableList<SettingsProblem> problems;

    SettingsException(ImmutableList<SettingsProblem> problems) {
        super(Joiner.on('\n').join(problems));
        this.problems = problems;
    }

    /** Returns the problems in the order of the file, missing keys last. */
    public ImmutableList<SettingsProblem> problems() {
        return problems;
    }
}
