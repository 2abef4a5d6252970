package org.boragebarrow.ctl.load;

import java.util.ArrayList;
import java.util.List;

import com.google.common.collect.ImmutableList;
import net.jqwik.api.Example;
import org.boragebarrow.ctl.caller.AnswerEnd;
import org.boragebarrow.ctl.caller.AnswerListener;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.model.IncarnationNumber;
import org.boragebarrow.model.Target;
import org.boragebarrow.port.EngineClient;

import static com.google.common.truth.Truth.assertThat;

class EngineSenderTest {
    private static final AnswerListener IGNORED = new AnswerListener() {
        @Override
        public void onToken(String text) {}

        @Override
        public void onEnd(AnswerEnd end) {}
    };

    private final Scenario scenario = Scenarios.simple();
    private final Arrival arrival = ArrivalPlan.of(scenario).get(0);
    private final RecordingClient client = new RecordingClient();

    /** Records the engine ports and listeners of submitted sequences; tests end the sequences through the listeners. */
    private static final class RecordingClient implements EngineClient {
        private final List<Integer> ports = new ArrayList<>();
        private final List<Listener> listeners = new ArrayList<>();

        @Override
        public CallHandle submit(Target engine, Submission submission, Listener listener) {
            ports.add(engine.endpoint().port());
            listeners.add(listener);
            return new CallHandle() {
                @Override
                public void close() {}

                @Override
                public boolean isSent() {
                    return true;
                }

                @Override
                public void setReadEnabled(boolean reading) {}
            };
        }
    }

    private EngineSender sender(Policy policy) {
        ImmutableList<Endpoint> engines =
                ImmutableList.of(Endpoint.of("127.0.0.1", 1), Endpoint.of("127.0.0.1", 2), Endpoint.of("127.0.0.1", 3));
        HostIncarnation self = HostIncarnation.of(HostId.of("load"), IncarnationNumber.of(1));
        return new EngineSender(client, self, policy, engines, new PromptBodies(scenario.run()));
    }

    @Example
    void roundRobinSelectsEachEngineInTurn() {
        EngineSender sender = sender(Policy.ROUND_ROBIN);
        for (int i = 0; i < 4; i++) {
            sender.send(arrival, IGNORED);
        }
        assertThat(client.ports).containsExactly(1, 2, 3, 1).inOrder();
    }

    @Example
    void leastLoadSelectsTheEngineWithTheFewestRequestsInProgress() {
        EngineSender sender = sender(Policy.LEAST_LOAD);
        for (int i = 0; i < 3; i++) {
            sender.send(arrival, IGNORED);
        }
        client.listeners.get(1).onEnd(1, 1, "length");
        sender.send(arrival, IGNORED);
        assertThat(client.ports).containsExactly(1, 2, 3, 2).inOrder();
    }

    @Example
    void aRequestThatIsCancelledAsItEndsIsCountedOnce() {
        EngineSender sender = sender(Policy.LEAST_LOAD);
        Runnable cancel = sender.send(arrival, IGNORED);
        client.listeners.get(0).onEnd(1, 1, "length");
        cancel.run();
        for (int i = 0; i < 3; i++) {
            sender.send(arrival, IGNORED);
        }
        assertThat(client.ports).containsExactly(1, 1, 2, 3).inOrder();
    }
}
