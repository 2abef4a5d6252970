package org.boragebarrow.ctl.load;

import java.time.Duration;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.ModelId;
import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.model.ServiceName;

import static com.google.common.base.Preconditions.checkNotNull;

/** Defines which requests a run sends, when, and for which organisations. */
public record Scenario(
        Run run,
        Rate rate,
        ImmutableList<Organisation> organisations,
        ImmutableList<PromptClass> classes,
        ImmutableList<ServiceMix> services) {
    public Scenario {
        checkNotNull(run);
        checkNotNull(rate);
        checkNotNull(organisations);
        checkNotNull(classes);
        checkNotNull(services);
    }

    /**
     * Settings of the run.
     *
     * @param warmUp the time at the start of the run whose requests are excluded from the statistics
     * @param entries the endpoints of hosts that accept requests of callers
     * @param engines the endpoints of engines, for runs that bypass the hosts
     * @param includedNames the names of the classes and services that are sent; empty means all; excluding one doesn't
     *     change the times of the others
     * @param declareTokens whether callers declare the length of their prompts in a header; bodies are then shorter
     * @param maxBodyBytes the maximum size of the prompt text if lengths are declared
     * @param grace how long after its time limit a response is still considered in time
     */
    public record Run(
            Duration duration,
            Duration warmUp,
            long seed,
            ModelId model,
            ImmutableList<Endpoint> entries,
            ImmutableList<Endpoint> engines,
            ImmutableSet<String> includedNames,
            boolean declareTokens,
            int maxBodyBytes,
            Duration grace) {
        /** Returns whether requests of the class or service are sent. */
        boolean includes(String name) {
            return includedNames.isEmpty() || includedNames.contains(name);
        }
    }

    /**
     * An organisation that sends requests.
     *
     * @param keySource the source of its API key, in a form that {@link ScenarioApiKeys} reads
     * @param share its share of the requests, relative to those of the others
     * @param weight its weight in fair sharing, as its plan sets it
     * @param prefixFraction the leading fraction of each prompt that all its prompts have in common
     */
    public record Organisation(
            OrganisationId name,
            String keySource,
            double share,
            double weight,
            double prefixFraction,
            Optional<Flood> flood) {}

    /** Additional requests of an organisation beyond its share, at a constant rate per second. */
    public record Flood(double rate, Duration start, Duration duration) {
        /** Returns the rate at a time in nanoseconds since the start of the run. */
        double rateAt(long nanos) {
            long elapsed = nanos - start.toNanos();
            return elapsed >= 0 && elapsed < duration.toNanos() ? rate : 0;
        }
    }

    /** Prompts of similar length. */
    public record PromptClass(
            String name, double weight, TokenRange promptTokens, TokenRange maxTokens, Duration timeout) {}

    /**
     * Calls of a plain service.
     *
     * @param name identifies these calls, so that several mixes can call one service
     * @param callsPerPrompt the rate of calls as a multiple of the rate of prompts
     * @param path the path and query; {n} is replaced by the number of the call
     * @param body the body; {n} is replaced by the number of the call
     * @param hasIdempotencyKey whether each call has an idempotency key
     */
    public record ServiceMix(
            ServiceName service,
            String name,
            double callsPerPrompt,
            String method,
            String path,
            String body,
            boolean hasIdempotencyKey,
            Duration timeout) {}

    /** Returns this scenario restricted to the named classes and services, or unchanged if the set is empty. */
    public Scenario restrictedTo(ImmutableSet<String> names) {
        if (names.isEmpty()) {
            return this;
        }
        Run restricted = new Run(
                run.duration,
                run.warmUp,
                run.seed,
                run.model,
                run.entries,
                run.engines,
                names,
                run.declareTokens,
                run.maxBodyBytes,
                run.grace);
        return new Scenario(restricted, rate, organisations, classes, services);
    }

    /** Returns this scenario without calls of plain services. */
    public Scenario withoutServices() {
        return new Scenario(run, rate, organisations, classes, ImmutableList.of());
    }
}
