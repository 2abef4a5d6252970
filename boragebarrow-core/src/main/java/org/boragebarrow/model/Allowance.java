package org.boragebarrow.model;

import java.time.Duration;

import com.google.common.collect.ImmutableSet;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The limits and permissions of one plan.
 *
 * @param tokensPerMinute the maximum number of prompt and answer tokens per minute, summed over all availability zones
 * @param maxConcurrent the maximum number of concurrent requests, summed over all availability zones
 * @param maxPromptTokens the maximum length of a prompt, in tokens
 * @param weight the weight in fair queueing, relative to other plans
 * @param defaultTimeout the time limit of a request that specifies none
 * @param maxTimeout the maximum time limit that a request may specify
 * @param models the models that may be used; empty means all
 * @param services the plain services that may be called; empty means all
 */
public record Allowance(
        PlanId plan,
        long tokensPerMinute,
        int maxConcurrent,
        int maxPromptTokens,
        int weight,
        Duration defaultTimeout,
        Duration maxTimeout,
        ImmutableSet<ModelId> models,
        ImmutableSet<ServiceName> services) {
    public Allowance {
        checkNotNull(plan);
        checkArgument(tokensPerMinute > 0, "tokens per minute must be positive: %s", tokensPerMinute);
        checkArgument(maxConcurrent > 0, "maximum concurrency must be positive: %s", maxConcurrent);
        checkArgument(maxPromptTokens > 0, "maximum prompt tokens must be positive: %s", maxPromptTokens);
        checkArgument(weight > 0, "weight must be positive: %s", weight);
        checkArgument(defaultTimeout.toMillis() > 0, "default timeout must be at least 1 ms: %s", defaultTimeout);
        checkArgument(
                maxTimeout.compareTo(defaultTimeout) >= 0,
                "maximum timeout %s is shorter than the default timeout %s",
                maxTimeout,
                defaultTimeout);
        checkNotNull(models);
        checkNotNull(services);
    }

    /** Returns whether the plan may use the model. */
    public boolean allows(ModelId model) {
        return models.isEmpty() || models.contains(model);
    }

    /** Returns whether the plan may call the service. */
    public boolean allows(ServiceName service) {
        return services.isEmpty() || services.contains(service);
    }
}
