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

/** What is sent in a run, when and by whom. */
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
     * The run as a whole.
     *
     * @param warmUp the time at the start whose requests don't count
     * @param entries the callers' endpoints of hosts
     * @param engines the endpoints of engines, for runs without the system
     * @param only the classes that are sent; empty means all; the times of the others' requests stay planned
     * @param declareTokens whether callers declare the length of their prompts, whose bodies are then short
     * @param maxBodyBytes the longest prompt text when lengths are declared
     * @param grace how much later than its time limit an answer still counts as in time
     */
    public record Run(
            Duration length,
            Duration warmUp,
            long seed,
            ModelId model,
            ImmutableList<Endpoint> entries,
            ImmutableList<Endpoint> engines,
            ImmutableSet<String> only,
            boolean declareTokens,
            int maxBodyBytes,
            Duration grace) {
        /** Returns whether requests of the class or service are sent. */
        boolean includes(String name) {
            return only.isEmpty() || only.contains(name);
        }
    }

    /**
     * A party that sends requests.
     *
     * @param keyPlace where its API key is kept
     * @param share its part of all requests, relative to the others
     * @param weight its weight in fair sharing, as its plan gives it
     * @param prefixShare the leading part of each prompt that all its prompts have in common
     */
    public record Organisation(
            OrganisationId name,
            String keyPlace,
            double share,
            double weight,
            double prefixShare,
            Optional<Flood> flood) {}

    /** Requests that an organisation sends on top of its share, at a constant rate per second. */
    public record Flood(double rate, Duration start, Duration length) {
        /** Returns the rate at a time since the start of the run. */
        double at(long nanos) {
            long since = nanos - start.toNanos();
            return since >= 0 && since < length.toNanos() ? rate : 0;
        }
    }

    /** Prompts of similar length. */
    public record PromptClass(
            String name, double weight, TokenRange promptTokens, TokenRange maxTokens, Duration timeout) {}

    /**
     * Calls of a plain service.
     *
     * @param name names these calls, so that several mixes can call one service
     * @param share calls for each prompt
     * @param path the path and query; {n} stands for the number of the call
     * @param body the body; {n} stands for the number of the call
     * @param keyed whether each call has an idempotency key
     */
    public record ServiceMix(
            ServiceName service,
            String name,
            double share,
            String method,
            String path,
            String body,
            boolean keyed,
            Duration timeout) {}

    /** Returns this scenario with only the named classes and services sent; an empty set changes nothing. */
    public Scenario withOnly(ImmutableSet<String> names) {
        if (names.isEmpty()) {
            return this;
        }
        Run other = new Run(
                run.length,
                run.warmUp,
                run.seed,
                run.model,
                run.entries,
                run.engines,
                names,
                run.declareTokens,
                run.maxBodyBytes,
                run.grace);
        return new Scenario(other, rate, organisations, classes, services);
    }

    /** Returns this scenario without calls of plain services. */
    public Scenario withoutServices() {
        return new Scenario(run, rate, organisations, classes, ImmutableList.of());
    }
}
