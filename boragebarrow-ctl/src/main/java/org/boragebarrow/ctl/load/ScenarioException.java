package org.boragebarrow.ctl.load;

import com.google.common.base.Joiner;
import com.google.common.collect.ImmutableList;

/** Reports everything that is wrong with a scenario at once. */
public final class ScenarioException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient ImmutableList<ScenarioProblem> problems;

    ScenarioException(ImmutableList<ScenarioProblem> problems) {
        super(Joiner.on('\n').join(problems));
        this.problems = problems;
    }

    /** Returns the problems. */
    public ImmutableList<ScenarioProblem> problems() {
        return problems;
    }
}
