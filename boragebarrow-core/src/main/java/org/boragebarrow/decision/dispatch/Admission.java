package org.boragebarrow.decision.dispatch;

import java.time.Duration;
import java.util.Optional;

import org.boragebarrow.decision.allowance.AllowanceLedger;
import org.boragebarrow.model.Allowance;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Configuration;
import org.boragebarrow.model.ErrorKind;

/** Decides whether a submitted request is queued, refused or spilled to another zone. */
final class Admission {
    private static final Duration MIN_RETRY_AFTER = Duration.ofSeconds(1);
    private static final Duration MAX_RETRY_AFTER = Duration.ofMinutes(1);

    private final DispatchSettings settings;
    private final TargetTable targets;
    private final RequestQueues queues;
    private final AllowanceLedger ledger;
    private final PeerZoneSummaries peerZones;
    private final AnswerEstimator answerEstimator;

    Admission(
            DispatchSettings settings,
            TargetTable targets,
            RequestQueues queues,
            AllowanceLedger ledger,
            PeerZoneSummaries peerZones,
            AnswerEstimator answerEstimator) {
        this.settings = settings;
        this.targets = targets;
        this.queues = queues;
        this.ledger = ledger;
        this.peerZones = peerZones;
        this.answerEstimator = answerEstimator;
    }

    /** Returns a refusal if the organisation's plan does not allow the request under the given configuration. */
    static Optional<DispatchEffect> checkPlan(GrantRequest request, Configuration configuration) {
        Optional<Allowance> allowance = configuration.allowanceOf(request.organisation());
        if (allowance.isEmpty()) {
            return refused(request, ErrorKind.NOT_ALLOWED, "the organisation has no plan with an allowance");
        }
        Allowance a = allowance.get();
        return switch (request.work()) {
            case Work.Prompt p
            when !a.allows(p.model()) ->
                refused(request, ErrorKind.NOT_ALLOWED, "the plan does not allow model " + p.model());
            case Work.Prompt p
            when p.promptTokens() > a.maxPromptTokens() ->
                refused(
                        request,
                        ErrorKind.PROMPT_TOO_LONG,
                        "the plan allows prompts of up to " + a.maxPromptTokens() + " tokens, not " + p.promptTokens());
            case Work.ServiceCall c
            when !a.allows(c.service()) ->
                refused(request, ErrorKind.NOT_ALLOWED, "the plan does not allow service " + c.service());
            default -> Optional.empty();
        };
    }

    /** Returns the refusal or spill of a request, or empty if it was charged to the allowance and can be queued. */
    Optional<DispatchEffect> admit(QueuedRequest queued, Configuration configuration, long nowNanos) {
        GrantRequest request = queued.request;
        if (request.deadlineNanos() - nowNanos <= 0) {
            return refused(request, ErrorKind.TIMED_OUT_NOT_RUN, "the time limit has passed");
        }
        Optional<DispatchEffect> planRefusal = checkPlan(request, configuration);
        if (planRefusal.isPresent()) {
            return planRefusal;
        }
        Allowance allowance = configuration.allowanceOf(request.organisation()).orElseThrow();
        Optional<DispatchEffect> refusal = switch (request.work()) {
            case Work.Prompt p -> checkPrompt(queued, p, allowance, nowNanos);
            case Work.ServiceCall c -> checkServiceCall(request, c);
        };
        if (refusal.isPresent()) {
            return refusal;
        }
        return ledger.admit(request.organisation(), allowance, queued.tokens, nowNanos)
                .map(waitTime -> new DispatchEffect.Refused(
                        request.attempt(),
                        ErrorKind.ALLOWANCE_SPENT,
                        "the allowance is used up",
                        clampRetryAfter(waitTime)));
    }

    private Optional<DispatchEffect> checkServiceCall(GrantRequest request, Work.ServiceCall call) {
        Optional<ServicePool> pool = targets.servicePool(call.service());
        if (pool.isEmpty()) {
            return refused(request, ErrorKind.UNKNOWN_SERVICE, "no target offers service " + call.service());
        }
        if (!pool.get().hasTargetFor(request.excluded())) {
            return refused(request, ErrorKind.NO_TARGET, "all targets are excluded for service " + call.service());
        }
        return queues.isFull(request.organisation()) ? overloaded(request) : Optional.empty();
    }

    private Optional<DispatchEffect> checkPrompt(
            QueuedRequest queued, Work.Prompt prompt, Allowance allowance, long nowNanos) {
        GrantRequest request = queued.request;
        double remainingSeconds = (request.deadlineNanos() - nowNanos) / 1e9;
        Optional<ModelPool> optionalPool = targets.modelPool(prompt.model());
        if (optionalPool.isEmpty() || optionalPool.get().engines().isEmpty()) {
            return spill(queued, prompt, remainingSeconds)
                    .or(() -> targets.hasEngines()
                            ? refused(request, ErrorKind.UNKNOWN_MODEL, "no engine serves model " + prompt.model())
                            : refused(request, ErrorKind.NO_TARGET, "the zone lists no engine"));
        }
        ModelPool pool = optionalPool.get();
        if (!hasEngineFor(pool, queued)) {
            return spill(queued, prompt, remainingSeconds)
                    .or(() -> refused(
                            request,
                            ErrorKind.NO_TARGET,
                            "all engines that serve the model are excluded for this request"));
        }
        Optional<Integer> gangSize = gangSize(pool, queued);
        if (gangSize.isEmpty()) {
            return spill(queued, prompt, remainingSeconds)
                    .or(() -> refused(
                            request,
                            ErrorKind.PROMPT_TOO_LONG,
                            "the engines together can hold " + Gangs.capacity(pool.engines()) + " tokens, not "
                                    + queued.tokens));
        }
        if (queues.isFull(request.organisation())) {
            return spill(queued, prompt, remainingSeconds).or(() -> overloaded(request));
        }
        return checkDeadline(pool, queued, prompt, allowance.weight(), gangSize.get(), nowNanos);
    }

    private Optional<DispatchEffect> checkDeadline(
            ModelPool pool, QueuedRequest queued, Work.Prompt prompt, int weight, int gangSize, long nowNanos) {
        if (!settings.policy().isClassAware()) {
            return Optional.empty();
        }
        int index = queueIndex(pool, queued);
        double waitSeconds = Forecast.queueSeconds(pool, index, queued, weight, true);
        double runSeconds = Forecast.runSeconds(pool, queued, gangSize, nowNanos);
        double remainingSeconds = (queued.request.deadlineNanos() - nowNanos) / 1e9;
        if (waitSeconds + runSeconds <= remainingSeconds) {
            return Optional.empty();
        }
        Optional<DispatchEffect> spilled = spill(queued, prompt, Math.min(waitSeconds, remainingSeconds - runSeconds));
        if (spilled.isPresent()) {
            return spilled;
        }
        answerEstimator.onRefused(queued.request.organisation(), prompt);
        double excessSeconds = waitSeconds + runSeconds - remainingSeconds;
        String message = String.format(
                "predicted %.1f s in the queue and %.1f s of execution exceed the remaining %.1f s",
                waitSeconds, runSeconds, remainingSeconds);
        return Optional.of(new DispatchEffect.Refused(
                queued.request.attempt(),
                ErrorKind.DEADLINE_UNREACHABLE,
                message,
                clampRetryAfter(Duration.ofMillis((long) Math.min(excessSeconds * 1e3, MAX_RETRY_AFTER.toMillis())))));
    }

    /** Returns the index of the pool's queue that the prompt belongs to. */
    int queueIndex(ModelPool pool, QueuedRequest queued) {
        if (pool.isCapacityKnown() && !Gangs.fitsOneEngine(pool, queued.lengthClass, queued.tokens)) {
            return ModelPool.GANG_QUEUE;
        }
        return settings.policy().isClassAware() ? queued.lengthClass.ordinal() : 0;
    }

    private static Optional<Integer> gangSize(ModelPool pool, QueuedRequest queued) {
        if (!pool.isCapacityKnown() || Gangs.fitsOneEngine(pool, queued.lengthClass, queued.tokens)) {
            return Optional.of(1);
        }
        return Gangs.size(pool.engines(), queued.tokens);
    }

    /** Returns whether the pool has an engine that the request does not exclude. */
    static boolean hasEngineFor(ModelPool pool, QueuedRequest queued) {
        for (EngineView e : pool.engines()) {
            if (!queued.request.excluded().contains(e.id)) {
                return true;
            }
        }
        return false;
    }

    private Optional<DispatchEffect> spill(QueuedRequest queued, Work.Prompt prompt, double maxWaitSeconds) {
        if (queued.request.spilled()) {
            return Optional.empty();
        }
        Optional<AvailabilityZoneId> zone = peerZones.zoneFor(prompt.model(), queued.tokens, maxWaitSeconds);
        return zone.map(z -> new DispatchEffect.Spilled(queued.request.attempt(), z));
    }

    private static Optional<DispatchEffect> overloaded(GrantRequest request) {
        return Optional.of(new DispatchEffect.Refused(
                request.attempt(), ErrorKind.OVERLOADED, "too many requests are queued", MIN_RETRY_AFTER));
    }

    static Optional<DispatchEffect> refused(GrantRequest request, ErrorKind kind, String message) {
        Duration retryAfter = kind.retryable() ? MIN_RETRY_AFTER : Duration.ZERO;
        return Optional.of(new DispatchEffect.Refused(request.attempt(), kind, message, retryAfter));
    }

    private static Duration clampRetryAfter(Duration waitTime) {
        if (waitTime.compareTo(MIN_RETRY_AFTER) < 0) {
            return MIN_RETRY_AFTER;
        }
        return waitTime.compareTo(MAX_RETRY_AFTER) > 0 ? MAX_RETRY_AFTER : waitTime;
    }
}
