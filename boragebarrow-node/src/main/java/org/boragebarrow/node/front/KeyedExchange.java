package org.boragebarrow.node.front;

import java.nio.charset.StandardCharsets;

import com.google.common.collect.ImmutableListMultimap;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.netty.channel.EventLoop;
import org.boragebarrow.decision.claim.ClaimAnswer;
import org.boragebarrow.decision.claim.ClaimKey;
import org.boragebarrow.http.server.ServerRequest;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.RequestException;

/**
 * One call with an idempotency key: claims the key, dispatches the call at most once and records the outcome.
 *
 * <p>Confined to one event loop. The outcome is recorded even if the caller has disconnected.
 */
final class KeyedExchange {
    private static final String REPLAYED_HEADER = "idempotent-replayed";

    /** Receives the end of the exchange. */
    interface Listener {
        /** Called with the response to this attempt or to the earlier one that ran. */
        void onAnswer(ServiceAnswer answer);

        /** Called on failure; {@code claimed} is whether the claim was verified to be held by this attempt. */
        void onFailure(RequestException failure, boolean claimed);
    }

    private final FrontContext context;
    private final AdmittedRequest admitted;
    private final ServiceExchange.Request request;
    private final EventLoop loop;
    private final Listener listener;
    private final AttemptId attempt;

    private ServiceExchange exchange;
    private boolean done;

    KeyedExchange(
            FrontContext context,
            AdmittedRequest admitted,
            ServiceExchange.Request request,
            EventLoop loop,
            Listener listener) {
        this.context = context;
        this.admitted = admitted;
        this.request = request;
        this.loop = loop;
        this.listener = listener;
        this.attempt = context.nextAttempt();
    }

    void start(String idempotencyKey) {
        ClaimKey key = ClaimKey.of(admitted.organisation(), idempotencyKey);
        String hash = hashOf(request);
        context.claims().request(attempt, key, hash, admitted.deadlineNanos(), loop, new Claims.Listener() {
            @Override
            public void onGranted() {
                dispatch();
            }

            @Override
            public void onRefused(RequestException refusal) {
                end(() -> listener.onFailure(refusal, false));
            }

            @Override
            public void onReplayed(ClaimAnswer answer) {
                replay(answer);
            }
        });
    }

    private static String hashOf(ServiceExchange.Request request) {
        ServerRequest received = request.received();
        Hasher hasher = Hashing.sha256().newHasher();
        putText(hasher, received.method());
        putText(hasher, request.service().value());
        putText(hasher, request.path());
        received.body().forEach(part -> hasher.putBytes(part.duplicate()));
        return hasher.hash().toString();
    }

    private static void putText(Hasher hasher, String text) {
        hasher.putInt(text.length()).putString(text, StandardCharsets.UTF_8);
    }

    private void dispatch() {
        if (done) {
            context.claims().abandon(attempt);
            return;
        }
        exchange = new ServiceExchange(context, admitted, request, loop, new ServiceExchange.Listener() {
            @Override
            public void onAnswer(ServiceAnswer answer) {
                recordAnswer(answer);
                end(() -> listener.onAnswer(answer));
            }

            @Override
            public void onFailure(RequestException failure, boolean sent) {
                if (sent) {
                    context.claims().interrupt(attempt);
                } else {
                    context.claims().abandon(attempt);
                }
                end(() -> listener.onFailure(failure, true));
            }
        });
        exchange.start();
    }

    /** Records the response; a long body must be in the object store before the claim refers to it. */
    private void recordAnswer(ServiceAnswer answer) {
        if (answer.body().length <= ClaimAnswer.MAX_INLINE_BYTES) {
            ClaimAnswer.Body body = ClaimAnswer.Inline.of(answer.body());
            context.claims().finish(attempt, new ClaimAnswer(answer.status(), answer.headers(), body));
            return;
        }
        String objectKey = "claim-answer/" + Hashing.sha256().hashString(attempt.toString(), StandardCharsets.UTF_8);
        context.objects().put(objectKey, answer.body()).whenComplete((stored, failure) -> {
            if (failure == null) {
                ClaimAnswer.Body body = new ClaimAnswer.Stored(objectKey);
                context.claims().finish(attempt, new ClaimAnswer(answer.status(), answer.headers(), body));
            } else {
                context.claims().interrupt(attempt);
            }
        });
    }

    private void replay(ClaimAnswer answer) {
        switch (answer.body()) {
            case ClaimAnswer.Inline inline -> replay(answer, inline.bytes());
            case ClaimAnswer.Stored stored ->
                context.objects()
                        .get(stored.objectKey())
                        .whenComplete((bytes, failure) -> loop.execute(() -> {
                            if (failure == null && bytes.isPresent()) {
                                replay(answer, bytes.get());
                            } else {
                                end(() -> listener.onFailure(KeyedFailures.answerUnreadable(), false));
                            }
                        }));
        }
    }

    private void replay(ClaimAnswer answer, byte[] body) {
        ImmutableListMultimap<String, String> headers = ImmutableListMultimap.<String, String>builder()
                .putAll(answer.headers())
                .put(REPLAYED_HEADER, "true")
                .build();
        end(() -> listener.onAnswer(new ServiceAnswer(answer.status(), headers, body)));
    }

    /** Abandons a call that has not been dispatched; a dispatched call continues, so that its outcome is recorded. */
    void onCallerDisconnected() {
        if (done) {
            return;
        }
        if (exchange == null) {
            context.claims().abandon(attempt);
            end(() -> listener.onFailure(KeyedFailures.callerDisconnected(), false));
            return;
        }
        exchange.onCallerDisconnected();
    }

    private void end(Runnable notification) {
        if (!done) {
            done = true;
            notification.run();
        }
    }
}
