package org.boragebarrow.ctl.load;

import java.time.Duration;

import org.boragebarrow.model.RequestId;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A request that a run sends.
 *
 * @param id the same in each run of the scenario
 * @param atNanos the intended time, since the start of the run
 */
public record Arrival(String id, long atNanos, Scenario.Organisation organisation, Work work) {
    public Arrival {
        checkNotNull(id);
        checkNotNull(organisation);
        checkNotNull(work);
    }

    /** What is asked for. */
    public sealed interface Work {
        /** Returns the time limit. */
        Duration timeout();
    }

    /** A completion. */
    public record Prompt(String className, int promptTokens, int maxTokens, Duration timeout) implements Work {
        /** Returns the tokens that the prompt and its whole answer have. */
        long tokens() {
            return (long) promptTokens + maxTokens;
        }
    }

    /**
     * A call of a plain service.
     *
     * @param number the number of the call within its mix
     */
    public record Call(Scenario.ServiceMix mix, int number) implements Work {
        private static final String NUMBER = "{n}";

        @Override
        public Duration timeout() {
            return mix.timeout();
        }

        String path() {
            return mix.path().replace(NUMBER, Integer.toString(number));
        }

        String body() {
            return mix.body().replace(NUMBER, Integer.toString(number));
        }
    }

    /** Returns the request id in one run. */
    RequestId requestId(String run) {
        return RequestId.of(run + "-" + id);
    }
}
