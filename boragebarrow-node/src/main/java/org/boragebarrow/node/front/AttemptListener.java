package org.boragebarrow.node.front;

import io.netty.channel.EventLoop;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.port.EngineClient;
import org.boragebarrow.port.TargetFailure;

/** Passes the events of one attempt's stream to the event loop that owns the request. */
final class AttemptListener implements EngineClient.Listener {
    /** Receives the events on the request's event loop. */
    interface Events {
        /** Called for each token. */
        void onToken(AttemptId attempt, int index, String text);

        /** Called when the engine ends the stream explicitly. */
        void onEnd(AttemptId attempt, int count, int promptTokens, String finishReason);

        /** Called when the connection fails or the engine refuses the request. */
        void onFailure(AttemptId attempt, TargetFailure failure);
    }

    private final AttemptId attempt;
    private final EventLoop loop;
    private final Events events;

    AttemptListener(AttemptId attempt, EventLoop loop, Events events) {
        this.attempt = attempt;
        this.loop = loop;
        this.events = events;
    }

    @Override
    public void onToken(int index, String text) {
        run(() -> events.onToken(attempt, index, text));
    }

    @Override
    public void onEnd(int count, int promptTokens, String finishReason) {
        run(() -> events.onEnd(attempt, count, promptTokens, finishReason));
    }

    @Override
    public void onFailure(TargetFailure failure) {
        run(() -> events.onFailure(attempt, failure));
    }

    private void run(Runnable action) {
        if (loop.inEventLoop()) {
            action.run();
            return;
        }
        loop.execute(action);
    }
}
