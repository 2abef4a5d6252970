package org.boragebarrow.ctl.load;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicIntegerArray;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.ctl.caller.AnswerEnd;
import org.boragebarrow.ctl.caller.AnswerListener;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.model.Target;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.model.TargetKind;
import org.boragebarrow.port.EngineClient;
import org.boragebarrow.port.TargetFailure;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Sends prompts directly to engines, which a simple policy selects, as a baseline for comparison.
 *
 * <p>{@link #send} is not thread-safe.
 */
final class EngineSender implements Sender {
    private static final AvailabilityZoneId ZONE = AvailabilityZoneId.of("direct");

    private final EngineClient client;
    private final HostIncarnation self;
    private final Policy policy;
    private final PromptBodies bodies;
    private final ImmutableList<Target> engines;
    private final AtomicIntegerArray inProgress;
    private int sent;

    EngineSender(
            EngineClient client,
            HostIncarnation self,
            Policy policy,
            ImmutableList<Endpoint> engines,
            PromptBodies bodies) {
        checkArgument(!engines.isEmpty(), "engines must not be empty");
        checkArgument(policy != Policy.SYSTEM, "policy SYSTEM sends to hosts, not to engines");
        this.client = client;
        this.self = self;
        this.policy = policy;
        this.bodies = bodies;
        this.engines = engines.stream().map(EngineSender::target).collect(ImmutableList.toImmutableList());
        this.inProgress = new AtomicIntegerArray(engines.size());
    }

    private static Target target(Endpoint endpoint) {
        TargetId id = TargetId.of("engine-" + endpoint);
        return new Target(id, TargetKind.ENGINE, ZONE, endpoint, Optional.empty(), false);
    }

    @Override
    public Runnable send(Arrival arrival, AnswerListener listener) {
        if (!(arrival.work() instanceof Arrival.Prompt prompt)) {
            throw new IllegalArgumentException("engines serve prompts only, not " + arrival.work());
        }
        int engine = selectEngine();
        inProgress.incrementAndGet(engine);
        AttemptId attempt = AttemptId.of(self, sent++);
        EngineClient.Submission submission = new EngineClient.Submission(
                arrival.requestId(attempt.toString()),
                attempt,
                bodies.model(),
                bodies.of(arrival, prompt),
                ByteBuffer.allocate(0),
                prompt.promptTokens(),
                prompt.maxTokens(),
                0,
                false,
                0,
                prompt.timeout(),
                Optional.empty());
        CompletionListener completionListener = new CompletionListener(engine, listener);
        EngineClient.CallHandle handle = client.submit(engines.get(engine), submission, completionListener);
        return () -> {
            handle.close();
            completionListener.markEnded();
        };
    }

    private int selectEngine() {
        if (policy == Policy.ROUND_ROBIN) {
            return sent % engines.size();
        }
        int leastLoaded = 0;
        for (int i = 1; i < engines.size(); i++) {
            if (inProgress.get(i) < inProgress.get(leastLoaded)) {
                leastLoaded = i;
            }
        }
        return leastLoaded;
    }

    /** Forwards the events of an engine to the listener and decrements the requests in progress at the end. */
    private final class CompletionListener implements EngineClient.Listener {
        private final int engine;
        private final AnswerListener listener;
        private final AtomicBoolean ended = new AtomicBoolean();

        CompletionListener(int engine, AnswerListener listener) {
            this.engine = engine;
            this.listener = listener;
        }

        /** Decrements the requests in progress once, even if the request is cancelled while it ends. */
        void markEnded() {
            if (ended.compareAndSet(false, true)) {
                inProgress.decrementAndGet(engine);
            }
        }

        @Override
        public void onToken(int index, String text) {
            listener.onToken(text);
        }

        @Override
        public void onEnd(int count, int promptTokens, String finishReason) {
            markEnded();
            listener.onEnd(new AnswerEnd.Complete(count, promptTokens));
        }

        @Override
        public void onFailure(TargetFailure failure) {
            markEnded();
            listener.onEnd(
                    failure.refused()
                            ? new AnswerEnd.Refused(0, "ENGINE_REFUSED", "no", failure.message())
                            : new AnswerEnd.Cut(failure.sent(), failure.message()));
        }
    }
}
