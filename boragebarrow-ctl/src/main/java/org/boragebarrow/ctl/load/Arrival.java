package org.boragebarrow.ctl.load;

import java.time.Duration;

import org.boragebarrow.model.RequestId;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A planned request of a run.
 *
 * @param id identifies the request within the scenario; the same in each run
 * @param intendedNanos the intended send time in nanoseconds since the start of the run
 */
public record Arrival(String id, long intendedNanos, Scenario.Organisation organisation, Work work) {
    public Arrival {
        checkNotNull(id);
        checkNotNull(organisation);
        checkNotNull(work);
    }

    /** The kind of a request and its parameters. */
    public sealed interface Work {
        /** Returns the time limit of the request. */
        Duration timeout();
    }

    /** A streamed completion of a prompt. */
    public record Prompt(String className, int promptTokens, int maxTokens, Duration timeout) implements Work {
        /** Returns the number of tokens of the prompt and its complete response. */
        long tokens() {
            return (long) promptTokens + maxTokens;
        }
    }

    /**
     * A call of a plain service.
     *
     * @param number the index of the call within its mix, from 0; replaces {n} in the path and the body
     */
    public record Call(Scenario.ServiceMix mix, int number) implements Work {
        private static final String NUMBER_PLACEHOLDER = "{n}";

        @Override
        public Duration timeout() {
            return mix.timeout();
        }

        String path() {
            return mix.path().replace(NUMBER_PLACEHOLDER, Integer.toString(number));
        }

        String body() {
            return mix.body().replace(NUMBER_PLACEHOLDER, Integer.toString(number));
        }
    }

    /** Returns the request id, which is unique to the run. */
    RequestId requestId(String runId) {
        return RequestId.of(runId + "-" + id);
    }
}
