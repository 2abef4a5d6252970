package org.boragebarrow.model;

import java.time.Duration;

import com.google.common.collect.ImmutableSet;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * What one plan may use.
 *
 * @param tokensPerMinute prompt and answer tokens a minute over all availability zones
 * @param maxConcurrent requests in progress at once over all availability zones
 * @param maxPromptTokens the longest prompt
 * @param weight the share in fair queueing, relative to other plans
 * @param defaultTimeout the time limit of a request that names none
 * @param maxTimeout the longest time limit that a request may ask for
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
        checkArgument(maxConcurrent > 0, "concurrency must be positive: %s", maxConcurrent);
        checkArgument(maxPromptTokens > 0, "longest prompt must be positive: %s", maxPromptTokens);
        checkArgument(weight > 0, "weight must be positive: %s", weight);
        checkArgument(defaultTimeout.toMillis() > 0, "default timeout must be positive: %s", defaultTimeout);
        checkArgument(
                maxTimeout.compareTo(defaultTimeout) >= 0,
                "longest timeout %s is below the default %s",
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
