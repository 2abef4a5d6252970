package org.boragebarrow.node.settings;

import com.google.common.base.Joiner;
import com.google.common.collect.ImmutableList;

/** Thrown for an invalid settings file; lists all problems of the file. */
public final class SettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient ImmutableList<SettingsProblem> problems;

    SettingsException(ImmutableList<SettingsProblem> problems) {
        super(Joiner.on('\n').join(problems));
        this.problems = problems;
    }

    /** Returns the problems in the order of their lines, with missing keys last. */
    public ImmutableList<SettingsProblem> problems() {
        return problems;
    }
}
