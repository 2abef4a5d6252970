package org.boragebarrow.standins.engine;

import java.util.ArrayList;
import java.util.List;

import org.boragebarrow.model.AttemptId;

/** Records the tokens and ends of sequences, in order. */
final class RecordingSink implements SequenceSink {
    final List<String> events = new ArrayList<>();

    @Override
    public void onToken(AttemptId attempt, int index) {
        events.add(attempt.counter() + " token " + index);
    }

    @Override
    public void onEnd(AttemptId attempt) {
        events.add(attempt.counter() + " end");
    }

    @Override
    public void onStop(AttemptId attempt, String reason) {
        events.add(attempt.counter() + " stop");
    }
}
