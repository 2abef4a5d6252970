package org.boragebarrow.decision.dispatch;

import java.time.Duration;
import java.util.Optional;

import org.boragebarrow.decision.allowance.AllowanceLedger;
import org.boragebarrow.model.Allowance;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Configuration;
import org.boragebarrow.model.ErrorKind;

/** Judges whether a submitted request may wait for a grant. */
final class Admission {
    private static final Duration SHORTEST_RETRY = Duration.ofSeconds(1);
    private static final Duration LONGEST_RETRY = Duration.ofMinutes(1);

    private final DispatchSettings settings;
    private final TargetTable targets;
    private final Queues queues;
    private final AllowanceLedger ledger;
    private final Neighbours neighbours;
    private final AnswerEstimator answers;

    Admission(
            DispatchSettings settings,
            TargetTable targets,
            Queues queues,
            AllowanceLedger ledger,
            Neighbours neighbours,
            AnswerEstimator answers) {
        this.settings = settings;
        this.targets = targets;
        this.queues = queues;
        this.ledger = ledger;
        this.neighbours = neighbours;
        this.answers = answers;
    }

    /** Returns why the organisation may not do the work, by the configuration in force. */
    static Optional<DispatchEffect> forbidden(GrantRequest request, Configuration configuration) {
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
                        "the plan allows prompts of " + a.maxPromptTokens() + " tokens, not " + p.promptTokens());
            case Work.ServiceCall c
            when !a.allows(c.service()) ->
                refused(request, ErrorKind.NOT_ALLOWED, "the plan does not allow service " + c.service());
            default -> Optional.empty();
        };
    }

    /** Returns the refusal or the passing on of a request, or empty if it is charged and may wait. */
    Optional<DispatchEffect> judge(Queued queued, Configuration configuration, long nowNanos) {
        GrantRequest request = queued.request;
        if (request.deadlineNanos() - nowNanos <= 0) {
            return refused(request, ErrorKind.TIMED_OUT_NOT_RUN, "the time limit has passed");
        }
        Optional<DispatchEffect> forbidden = forbidden(request, configuration);
        if (forbidden.isPresent()) {
            return forbidden;
        }
        Allowance allowance = configuration.allowanceOf(request.organisation()).orElseThrow();
        Optional<DispatchEffect> refusal = switch (request.work()) {
            case Work.Prompt p -> judgePrompt(queued, p, allowance, nowNanos);
            case Work.ServiceCall c -> judgeCall(request, c);
        };
        if (refusal.isPresent()) {
            return refusal;
        }
        return ledger.admit(request.organisation(), allowance, queued.tokens, nowNanos)
                .map(wait -> new DispatchEffect.Refused(
                        request.attempt(), ErrorKind.ALLOWANCE_SPENT, "the allowance is used up", retryAfter(wait)));
    }

    private Optional<DispatchEffect> judgeCall(GrantRequest request, Work.ServiceCall call) {
        Optional<ServicePool> pool = targets.servicePool(call.service());
        if (pool.isEmpty()) {
            return refused(request, ErrorKind.UNKNOWN_SERVICE, "no target offers service " + call.service());
        }
        if (!pool.get().hasTargetFor(request.excluded())) {
            return refused(request, ErrorKind.NO_TARGET, "no target is left for service " + call.service());
        }
        return queues.isFull(request.organisation()) ? overloaded(request) : Optional.empty();
    }

    private Optional<DispatchEffect> judgePrompt(
            Queued queued, Work.Prompt prompt, Allowance allowance, long nowNanos) {
        GrantRequest request = queued.request;
        double remaining = (request.deadlineNanos() - nowNanos) / 1e9;
        Optional<ModelPool> found = targets.modelPool(prompt.model());
        if (found.isEmpty() || found.get().engines().isEmpty()) {
            return elsewhere(queued, prompt, remaining)
                    .or(() -> targets.hasEngines()
                            ? refused(request, ErrorKind.UNKNOWN_MODEL, "no engine serves model " + prompt.model())
                            : refused(request, ErrorKind.NO_TARGET, "no engine is listed"));
        }
        ModelPool pool = found.get();
        if (!hasEngineFor(pool, queued)) {
            return elsewhere(queued, prompt, remaining)
                    .or(() -> refused(request, ErrorKind.NO_TARGET, "no engine is left for the request"));
        }
        Optional<Integer> gang = gangSize(pool, queued);
        if (gang.isEmpty()) {
            return elsewhere(queued, prompt, remaining)
                    .or(() -> refused(
                            request,
                            ErrorKind.PROMPT_TOO_LONG,
                            "the engines together hold " + Gangs.capacity(pool.engines()) + " tokens, not "
                                    + queued.tokens));
        }
        if (queues.isFull(request.organisation())) {
            return elsewhere(queued, prompt, remaining).or(() -> overloaded(request));
        }
        return unreachable(pool, queued, prompt, allowance.weight(), gang.get(), nowNanos);
    }

    private Optional<DispatchEffect> unreachable(
            ModelPool pool, Queued queued, Work.Prompt prompt, int weight, int gang, long nowNanos) {
        if (!settings.policy().isClassAware()) {
            return Optional.empty();
        }
        int index = queueIndex(pool, queued);
        double wait = Forecast.queueSeconds(pool, index, queued, weight, true);
        double run = Forecast.runSeconds(pool, queued, gang, nowNanos);
        double remaining = (queued.request.deadlineNanos() - nowNanos) / 1e9;
        if (wait + run <= remaining) {
            return Optional.empty();
        }
        Optional<DispatchEffect> spilled = elsewhere(queued, prompt, Math.min(wait, remaining - run));
        if (spilled.isPresent()) {
            return spilled;
        }
        answers.onRefused(queued.request.organisation(), prompt);
        double late = wait + run - remaining;
        String message = String.format(
                "%.1f s of waiting and %.1f s of running are predicted, %.1f s are left", wait, run, remaining);
        return Optional.of(new DispatchEffect.Refused(
                queued.request.attempt(), ErrorKind.DEADLINE_UNREACHABLE, message, retryAfter(Duration.ofMillis((long)
                        Math.min(late * 1e3, LONGEST_RETRY.toMillis())))));
    }

    /** Returns the queue in which the prompt waits. */
    int queueIndex(ModelPool pool, Queued queued) {
        if (pool.isMeasured() && !Gangs.fitsOneEngine(pool, queued.lengthClass, queued.tokens)) {
            return ModelPool.GANG_QUEUE;
        }
        return settings.policy().isClassAware() ? queued.lengthClass.ordinal() : 0;
    }

    private static Optional<Integer> gangSize(ModelPool pool, Queued queued) {
        if (!pool.isMeasured() || Gangs.fitsOneEngine(pool, queued.lengthClass, queued.tokens)) {
            return Optional.of(1);
        }
        return Gangs.size(pool.engines(), queued.tokens);
    }

    /** Returns whether the pool has an engine that the request does not exclude. */
    static boolean hasEngineFor(ModelPool pool, Queued queued) {
        for (EngineView e : pool.engines()) {
            if (!queued.request.excluded().contains(e.id)) {
                return true;
            }
        }
        return false;
    }

    private Optional<DispatchEffect> elsewhere(Queued queued, Work.Prompt prompt, double withinSeconds) {
        if (queued.request.spilled()) {
            return Optional.empty();
        }
        Optional<AvailabilityZoneId> zone = neighbours.zoneFor(prompt.model(), queued.tokens, withinSeconds);
        return zone.map(z -> new DispatchEffect.Spilled(queued.request.attempt(), z));
    }

    private static Optional<DispatchEffect> overloaded(GrantRequest request) {
        return Optional.of(new DispatchEffect.Refused(
                request.attempt(), ErrorKind.OVERLOADED, "too many requests wait", SHORTEST_RETRY));
    }

    static Optional<DispatchEffect> refused(GrantRequest request, ErrorKind kind, String message) {
        Duration retryAfter = kind.retryable() ? SHORTEST_RETRY : Duration.ZERO;
        return Optional.of(new DispatchEffect.Refused(request.attempt(), kind, message, retryAfter));
    }

    private static Duration retryAfter(Duration wait) {
        if (wait.compareTo(SHORTEST_RETRY) < 0) {
            return SHORTEST_RETRY;
        }
        return wait.compareTo(LONGEST_RETRY) > 0 ? LONGEST_RETRY : wait;
    }
}
