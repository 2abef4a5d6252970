package org.boragebarrow.http.platform;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import com.google.common.collect.ImmutableList;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.boragebarrow.http.client.HttpAnswer;
import org.boragebarrow.http.client.HttpCallException;
import org.boragebarrow.http.client.HttpClient;
import org.boragebarrow.http.platform.TableMessages.CommitAnswer;
import org.boragebarrow.http.platform.TableMessages.CommitRequest;
import org.boragebarrow.http.platform.TableMessages.GetRequest;
import org.boragebarrow.http.platform.TableMessages.RowsAnswer;
import org.boragebarrow.http.platform.TableMessages.ScanRequest;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.port.TableService;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Accesses the table service over HTTP.
 *
 * <p>A commit is {@link Unavailable} only if no part of it was sent, or if the service refused it with status 429 or
 * 503. It is {@link Unknown} if no response or an invalid one was received.
 */
public final class HttpTableService implements TableService {
    private final PlatformCalls calls;

    /** Creates an adapter whose calls fail if they are not answered within the timeout. */
    public HttpTableService(HttpClient client, Endpoint endpoint, Duration timeout) {
        calls = new PlatformCalls(client, endpoint, timeout);
    }

    @Override
    public CompletableFuture<Optional<Row>> get(String key) {
        return readRows("/table/get", new GetRequest(key))
                .thenApply(rows -> rows.stream().findFirst());
    }

    @Override
    public CompletableFuture<ImmutableList<Row>> scan(String prefix, int limit) {
        checkArgument(limit >= 0, "limit must not be negative: %s", limit);
        return readRows("/table/scan", new ScanRequest(prefix, limit));
    }

    @Override
    public CompletableFuture<CommitResult> commit(ImmutableList<Condition> conditions, ImmutableList<Write> writes) {
        return calls.post("/table/commit", CommitRequest.of(conditions, writes))
                .handle((answer, failure) -> failure == null ? toCommitResult(answer) : toCommitResult(failure));
    }

    private CompletableFuture<ImmutableList<Row>> readRows(String path, Object request) {
        return PlatformCalls.parse(
                calls.post(path, request),
                answer -> ImmutableList.copyOf(
                        PlatformCalls.readMessage(answer, RowsAnswer.class).rows()),
                TableUnavailableException::new);
    }

    private static CommitResult toCommitResult(Throwable failure) {
        boolean notSent = failure instanceof HttpCallException call && !call.sent();
        return notSent ? new Unavailable() : new Unknown();
    }

    private static CommitResult toCommitResult(HttpAnswer answer) {
        if (answer.status() == HttpResponseStatus.SERVICE_UNAVAILABLE.code()
                || answer.status() == HttpResponseStatus.TOO_MANY_REQUESTS.code()) {
            return new Unavailable();
        }
        try {
            return switch (PlatformCalls.readMessage(answer, CommitAnswer.class).outcome()) {
                case COMMITTED -> new Committed();
                case CONFLICT -> new Conflict();
            };
        } catch (IllegalArgumentException e) {
            return new Unknown();
        }
    }
}
