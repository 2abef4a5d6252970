package org.boragebarrow.ctl.load;

import org.boragebarrow.ctl.caller.AnswerEnd;

/** Classifies the result of a request as its caller sees it: in time, complete and correct, or not. */
final class OutcomeClassifier {
    private final PromptBodies bodies;
    private final long graceNanos;

    OutcomeClassifier(Scenario.Run run) {
        this.bodies = new PromptBodies(run);
        this.graceNanos = run.grace().toNanos();
    }

    Outcome classify(Result result) {
        long limit = result.arrival().work().timeout().toNanos() + graceNanos;
        if (result.endNanos() - result.arrival().intendedNanos() >= limit) {
            return Outcome.LATE;
        }
        return switch (result.end()) {
            case AnswerEnd.Refused refused -> Outcome.REFUSED;
            case AnswerEnd.Failed failed -> Outcome.FAILED;
            case AnswerEnd.Cut cut -> Outcome.CUT;
            case AnswerEnd.Complete complete -> isCorrect(result, complete) ? Outcome.OK : Outcome.WRONG;
        };
    }

    private boolean isCorrect(Result result, AnswerEnd.Complete end) {
        if (!(result.arrival().work() instanceof Arrival.Prompt prompt)) {
            return true;
        }
        return end.tokens() == prompt.maxTokens()
                && result.text().equals(ExpectedAnswers.text(bodies.of(result.arrival(), prompt), prompt.maxTokens()));
    }
}
