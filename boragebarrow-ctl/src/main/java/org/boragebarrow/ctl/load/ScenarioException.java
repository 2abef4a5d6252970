package org.boragebarrow.ctl.load;

import com.google.common.base.Joiner;
import com.google.common.collect.ImmutableList;

/** Thrown if a scenario is invalid; reports all of its problems at once. */
public final class ScenarioException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient ImmutableList<ScenarioProblem> problems;

    ScenarioException(ImmutableList<ScenarioProblem> problems) {
        super(Joiner.on('\n').join(problems));
        this.problems = problems;
    }

    /** Returns all problems of the scenario. */
    public ImmutableList<ScenarioProblem> problems() {
        return problems;
    }
}
