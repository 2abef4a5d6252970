package org.boragebarrow.ctl.load;

import java.util.Optional;
import java.util.OptionalInt;

import com.google.common.collect.ImmutableMap;
import org.boragebarrow.ctl.caller.AnswerListener;
import org.boragebarrow.ctl.caller.CallerClient;
import org.boragebarrow.ctl.caller.PromptCall;
import org.boragebarrow.ctl.caller.ServiceCall;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.OrganisationId;

/** Sends requests to the entry hosts in round-robin order, as the platform's load balancer does; not thread-safe. */
final class EntrySender implements Sender {
    private final CallerClient client;
    private final Scenario.Run run;
    private final String runId;
    private final PromptBodies bodies;
    private final ImmutableMap<OrganisationId, String> apiKeys;
    private int sent;

    /** Creates a sender; the run id makes the request ids and idempotency keys differ between runs. */
    EntrySender(
            CallerClient client,
            Scenario.Run run,
            String runId,
            PromptBodies bodies,
            ImmutableMap<OrganisationId, String> apiKeys) {
        this.client = client;
        this.run = run;
        this.runId = runId;
        this.bodies = bodies;
        this.apiKeys = apiKeys;
    }

    @Override
    public Runnable send(Arrival arrival, AnswerListener listener) {
        Endpoint entry = run.entries().get(sent++ % run.entries().size());
        return switch (arrival.work()) {
            case Arrival.Prompt prompt -> client.complete(entry, call(arrival, prompt), listener)::close;
            case Arrival.Call call -> {
                client.call(entry, call(arrival, call), listener);
                yield () -> {};
            }
        };
    }

    private PromptCall call(Arrival arrival, Arrival.Prompt prompt) {
        return new PromptCall(
                apiKeys.get(arrival.organisation().name()),
                arrival.requestId(runId),
                bodies.of(arrival, prompt),
                prompt.timeout(),
                run.declareTokens() ? OptionalInt.of(prompt.promptTokens()) : OptionalInt.empty());
    }

    private ServiceCall call(Arrival arrival, Arrival.Call call) {
        Scenario.ServiceMix mix = call.mix();
        return new ServiceCall(
                apiKeys.get(arrival.organisation().name()),
                arrival.requestId(runId),
                mix.service(),
                mix.method(),
                call.path(),
                call.body(),
                mix.timeout(),
                mix.hasIdempotencyKey() ? Optional.of(arrival.requestId(runId).value()) : Optional.empty());
    }
}
