package org.boragebarrow.standins.engine;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.boragebarrow.port.EngineClient;
import org.boragebarrow.port.TargetFailure;

/** Collects the text of a sequence until its end or failure. */
final class RecordingListener implements EngineClient.Listener {
    /** The outcome of a sequence: the count of its end event, or -1 and a failure. */
    record Outcome(String text, int tokens, int count, Optional<TargetFailure> failure) {}

    private final CompletableFuture<Outcome> outcome = new CompletableFuture<>();
    private final CompletableFuture<Void> firstToken = new CompletableFuture<>();
    private final StringBuilder text = new StringBuilder();
    private int tokens;

    Outcome outcome() {
        return outcome.join();
    }

    void awaitFirstToken() {
        firstToken.join();
    }

    @Override
    public void onToken(int index, String token) {
        text.append(token);
        tokens++;
        firstToken.complete(null);
    }

    @Override
    public void onEnd(int count, int promptTokens, String finishReason) {
        outcome.complete(new Outcome(text.toString(), tokens, count, Optional.empty()));
    }

    @Override
    public void onFailure(TargetFailure failure) {
        outcome.complete(new Outcome(text.toString(), tokens, -1, Optional.of(failure)));
    }
}
