package org.boragebarrow.node.watch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import com.google.common.base.Throwables;
import com.google.common.base.Ticker;
import com.google.common.collect.ImmutableList;
import io.netty.channel.EventLoop;
import org.boragebarrow.decision.placement.SizedHost;
import org.boragebarrow.decision.watch.TableMirror;
import org.boragebarrow.decision.watch.ValueEdit;
import org.boragebarrow.decision.watch.WatcherChoice;
import org.boragebarrow.model.HostId;
import org.boragebarrow.peer.proto.Envelope;
import org.boragebarrow.peer.wire.TableMessages;
import org.boragebarrow.port.StorePosition;
import org.boragebarrow.port.WatchedTable;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A table of the store that one host of a large zone, the watcher, polls; the others request changes from it, so that
 * most hosts need not query the store.
 *
 * <p>Confined to the event loop. An answer of a peer is accepted only if the store confirmed it recently; otherwise
 * this host queries the store itself. The age is counted from the time of this host's request, so that a network delay
 * cannot make an answer look fresher than it is. While calls to the store fail, this host requests changes from any
 * peer of its zone.
 */
public final class SharedTable implements WatchedTable {
    /** Maximum age of an accepted answer: half of the time to apply a change, less the time of a request and a call. */
    static final Duration MAX_AGE = Duration.ofMillis(1_000);

    /** Maximum age of the state that is sent to peers; less than {@link #MAX_AGE} by one network delay. */
    static final Duration MAX_SENT_AGE = Duration.ofMillis(900);

    /** Wait of a watcher's call at the store: the state that one call confirms is fresh until the next one returns. */
    static final Duration WATCHER_WAIT = Duration.ofMillis(800);

    /** How long a peer may hold a request while there are no changes. */
    static final Duration PEER_WAIT = Duration.ofMillis(500);

    /** Time for an answer beyond {@link #PEER_WAIT}: for connecting a link first, and for a busy event loop. */
    static final Duration ANSWER_SLACK = Duration.ofMillis(300);

    /**
     * Maximum size of the changes that are sent to a peer, in bytes of keys, values and edits; larger ones are read from
     * the store. Sent to the 40 hosts of a large zone, they occupy a link of 14 Mbit/s for less than a tenth of a second,
     * half of the permitted delay of a stream's events.
     */
    static final long MAX_SENT_BYTES = 4_000;

    /** Time after the last request of a peer during which this host keeps its calls to the store short. */
    private static final Duration RECENT_REQUEST_WINDOW = Duration.ofSeconds(3);

    /** Time after a failed call to the store during which peers are queried instead of the store. */
    private static final Duration STORE_FAILURE_WINDOW = Duration.ofSeconds(3);

    private static final int MAX_REMOVED_ROWS = 1_000;

    private final WatchedTable store;
    private final EventLoop loop;
    private final Ticker ticker;
    private final Peers peers;
    private final WatcherChoice choice;
    private final TableMirror mirror = new TableMirror(MAX_REMOVED_ROWS, (int) MAX_SENT_BYTES);
    private final Map<Long, OutgoingRequest> outgoingRequests = new HashMap<>();
    private final Map<StorePosition, TableMessages.Content> contents = new HashMap<>();
    private StorePosition contentsPosition = StorePosition.START;
    private final List<WaitingRequest> waitingRequests = new ArrayList<>();
    private Optional<Long> confirmedAt = Optional.empty();
    private Optional<Long> lastPeerRequestAt = Optional.empty();
    private Optional<Long> storeFailedAt = Optional.empty();
    private boolean refreshInProgress;
    private long lastRequestNumber;

    /** Sends messages to peers and receives events for the log. */
    public interface Peers {
        /** Sends a message to a host; drops it if the host is unknown or cannot be reached. */
        void send(HostId host, Envelope message);

        /**
         * Called when changes from a host are accepted.
         *
         * @param elapsed the time since the request
         * @param age the upper bound of the time since the store confirmed the changes
         */
        void onChangesAccepted(HostId host, VersionedRows changes, Duration elapsed, Duration age);

        /**
         * Called when a request to a host failed: the store is queried instead, and the host is excluded for a while.
         *
         * @param elapsed the time since the request
         */
        void onPeerExcluded(HostId host, Duration elapsed, String reason);
    }

    /** A request of this host to a peer. */
    private record OutgoingRequest(
            HostId host, StorePosition after, long sentAt, CompletableFuture<VersionedRows> answer) {}

    /** A request of a peer that waits for a change. */
    private record WaitingRequest(HostId host, TableMessages.ChangesRequest request, long receivedAt) {
        boolean isDue(long now) {
            return now - receivedAt >= request.maxWait().toNanos();
        }
    }

    /** Thrown when a peer does not supply the changes, so that the store has to be queried. */
    private static final class PeerReadException extends Exception {
        private static final long serialVersionUID = 1L;

        PeerReadException(String message) {
            super(message);
        }
    }

    /** Creates a table that queries the store itself until {@link #setHosts} is called. */
    public SharedTable(WatchedTable store, HostId self, EventLoop loop, Ticker ticker, Peers peers) {
        this.store = checkNotNull(store);
        this.loop = checkNotNull(loop);
        this.ticker = checkNotNull(ticker);
        this.peers = checkNotNull(peers);
        this.choice = new WatcherChoice(self, store.name());
    }

    /** Sets the hosts of this host's zone. */
    public void setHosts(Collection<SizedHost> hosts) {
        choice.setHosts(hosts);
    }

    @Override
    public String name() {
        return store.name();
    }

    @Override
    public CompletableFuture<Boolean> put(String key, byte[] value, Optional<StorePosition> expected) {
        return store.put(key, value, expected);
    }

    @Override
    public CompletableFuture<VersionedRows> read() {
        long now = ticker.read();
        return store.read()
                .thenApplyAsync(
                        rows -> {
                            mirror.replace(rows);
                            recordConfirmation(now);
                            return rows;
                        },
                        loop);
    }

    @Override
    public CompletableFuture<VersionedRows> changes(StorePosition after, Duration wait) {
        long now = ticker.read();
        Optional<HostId> peer = hasStoreFailedRecently(now) ? choice.selectFallback(now) : choice.select(now);
        if (peer.isEmpty()) {
            return pollStore(after, wait);
        }
        return requestFromPeer(peer.get(), after)
                .handle((changes, failure) ->
                        failure == null ? CompletableFuture.completedFuture(changes) : pollStore(after, wait))
                .thenCompose(answer -> answer);
    }

    private CompletableFuture<VersionedRows> pollStore(StorePosition after, Duration wait) {
        long now = ticker.read();
        boolean servesPeers = isWithin(lastPeerRequestAt, RECENT_REQUEST_WINDOW, now);
        Duration storeWait = servesPeers && wait.compareTo(WATCHER_WAIT) > 0 ? WATCHER_WAIT : wait;
        return callStore(after, storeWait, now);
    }

    private CompletableFuture<VersionedRows> callStore(StorePosition after, Duration wait, long now) {
        return store.changes(after, wait)
                .whenCompleteAsync((changes, failure) -> recordStoreResult(Optional.ofNullable(failure), now), loop)
                .thenApply(changes -> applyStoreChanges(after, changes, answeredAt(now, wait, changes, ticker.read())));
    }

    /** Records whether the store answered; a {@link HistoryLostException} is an answer and no failure of the store. */
    private void recordStoreResult(Optional<Throwable> failure, long now) {
        storeFailedAt = failure.filter(thrown -> !(Throwables.getRootCause(thrown) instanceof HistoryLostException))
                .map(thrown -> now);
    }

    private boolean hasStoreFailedRecently(long now) {
        return isWithin(storeFailedAt, STORE_FAILURE_WINDOW, now);
    }

    private VersionedRows applyStoreChanges(StorePosition after, VersionedRows changes, long asOf) {
        if (!mirror.position().isBefore(after) && after.isSameEra(mirror.position())) {
            mirror.applyChanges(changes);
            recordConfirmation(asOf);
        }
        return changes;
    }

    /**
     * Returns a time as of which the store's answer holds: an answer without changes is sent at the end of the wait, any
     * other one at some time after the call.
     */
    private static long answeredAt(long calledAt, Duration wait, VersionedRows changes, long now) {
        boolean waited = changes.rows().isEmpty() && now - calledAt >= wait.toNanos();
        return waited ? calledAt + wait.toNanos() : calledAt;
    }

    private void recordConfirmation(long asOf) {
        if (confirmedAt.isEmpty() || asOf - confirmedAt.get() > 0) {
            confirmedAt = Optional.of(asOf);
        }
        answerWaiting();
    }

    private static boolean isWithin(Optional<Long> since, Duration limit, long now) {
        return since.isPresent() && now - since.get() <= limit.toNanos();
    }

    private CompletableFuture<VersionedRows> requestFromPeer(HostId host, StorePosition after) {
        long number = ++lastRequestNumber;
        CompletableFuture<VersionedRows> answer = new CompletableFuture<>();
        outgoingRequests.put(number, new OutgoingRequest(host, after, ticker.read(), answer));
        loop.schedule(
                () -> failRequest(number, "no answer"),
                PEER_WAIT.plus(ANSWER_SLACK).toMillis(),
                TimeUnit.MILLISECONDS);
        peers.send(host, TableMessages.toEnvelope(new TableMessages.ChangesRequest(number, name(), after, PEER_WAIT)));
        return answer;
    }

    private void failRequest(long number, String reason) {
        OutgoingRequest request = outgoingRequests.remove(number);
        if (request != null) {
            long now = ticker.read();
            choice.recordFailure(request.host(), now);
            peers.onPeerExcluded(request.host(), Duration.ofNanos(now - request.sentAt()), reason);
            request.answer().completeExceptionally(new PeerReadException(request.host() + ": " + reason));
        }
    }

    /** Handles a peer's answer; ignores one that arrives after the request has timed out. */
    void onAnswer(HostId host, TableMessages.Answer answer) {
        OutgoingRequest request = outgoingRequests.get(answer.number());
        if (request == null || !request.host().equals(host)) {
            return;
        }
        long asOf = request.sentAt() + answer.holdTime().minus(answer.age()).toNanos();
        if (!isWithin(Optional.of(asOf), MAX_AGE, ticker.read())) {
            failRequest(answer.number(), "state was confirmed " + answer.age().toMillis() + " ms before the answer");
            return;
        }
        switch (answer.content()) {
            case TableMessages.Changes changes -> {
                outgoingRequests.remove(answer.number());
                if (!changes.position().isSameEra(request.after())) {
                    failWith(
                            request,
                            "the changes are of era " + changes.position().era());
                    return;
                }
                resolve(changes)
                        .ifPresentOrElse(
                                rows -> applyPeerChanges(request, rows, asOf),
                                () -> failWith(request, "the changes are to another version"));
            }
            case TableMessages.ChangesTooLarge tooLarge -> {
                outgoingRequests.remove(answer.number());
                failWith(request, "the changes are too large");
            }
            case TableMessages.ChangesUnavailable missing -> failRequest(answer.number(), "does not have the changes");
        }
    }

    private static void failWith(OutgoingRequest request, String reason) {
        request.answer().completeExceptionally(new PeerReadException(request.host() + ": " + reason));
    }

    /** Returns the changed rows with their values, or empty if this host lacks a value that an edit refers to. */
    private Optional<VersionedRows> resolve(TableMessages.Changes changes) {
        ImmutableList.Builder<Row> rows = ImmutableList.builder();
        for (TableMessages.ChangedRow changed : changes.rows()) {
            switch (changed) {
                case TableMessages.WholeRow whole -> rows.add(whole.row());
                case TableMessages.EditedRow edited -> {
                    Optional<Row> row = resolve(edited, changes.position());
                    if (row.isEmpty()) {
                        return Optional.empty();
                    }
                    rows.add(row.get());
                }
            }
        }
        return Optional.of(new VersionedRows(rows.build(), changes.position()));
    }

    private Optional<Row> resolve(TableMessages.EditedRow edited, StorePosition position) {
        if (!mirror.position().isSameEra(position)) {
            return Optional.empty();
        }
        Optional<Row> earlier =
                mirror.rowAsOf(edited.key(), edited.earlierVersion()).filter(row -> isEdited(row, edited));
        try {
            return earlier.map(row -> new Row(
                    edited.key(),
                    edited.edit().applyTo(row.value()),
                    new StorePosition(position.era(), edited.version()),
                    false));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static boolean isEdited(Row row, TableMessages.EditedRow edited) {
        return row.version() == edited.earlierVersion() && !row.removed();
    }

    private void applyPeerChanges(OutgoingRequest request, VersionedRows changes, long asOf) {
        if (!changes.rows().isEmpty()) {
            long now = ticker.read();
            peers.onChangesAccepted(
                    request.host(), changes, Duration.ofNanos(now - request.sentAt()), Duration.ofNanos(now - asOf));
        }
        mirror.applyChanges(changes);
        recordConfirmation(asOf);
        request.answer().complete(changes);
    }

    /** Handles a peer's request, which is answered at the next change or when its wait ends. */
    void onRequest(HostId host, TableMessages.ChangesRequest request) {
        lastPeerRequestAt = Optional.of(ticker.read());
        waitingRequests.add(new WaitingRequest(host, request, ticker.read()));
        loop.schedule(this::answerWaiting, request.maxWait().toMillis() + 1, TimeUnit.MILLISECONDS);
        answerWaiting();
    }

    /** Answers the requests that are due or have changes; state that is too old is confirmed by the store first. */
    private void answerWaiting() {
        long now = ticker.read();
        boolean fresh = isWithin(confirmedAt, MAX_SENT_AGE, now);
        for (WaitingRequest waiting : List.copyOf(waitingRequests)) {
            if (fresh && (isAnswerable(waiting) || waiting.isDue(now))) {
                waitingRequests.remove(waiting);
                answer(waiting, content(waiting.request().after()), now);
            }
        }
        if (!fresh && !waitingRequests.isEmpty()) {
            refresh();
        }
    }

    /** Returns whether there are changes to send, or the mirror lacks some changes since the requested version. */
    private boolean isAnswerable(WaitingRequest waiting) {
        return mirror.changesSince(waiting.request().after())
                .map(changes -> !changes.rows().isEmpty())
                .orElse(true);
    }

    private void answer(WaitingRequest waiting, TableMessages.Content content, long now) {
        TableMessages.Answer answer = new TableMessages.Answer(
                waiting.request().number(),
                name(),
                content,
                Duration.ofNanos(now - confirmedAt.orElse(now)),
                Duration.ofNanos(now - waiting.receivedAt()));
        peers.send(waiting.host(), TableMessages.toEnvelope(answer));
    }

    /** Returns the changes after a version; computed once for all peers that have the same version. */
    private TableMessages.Content content(StorePosition after) {
        if (!contentsPosition.equals(mirror.position())) {
            contents.clear();
            contentsPosition = mirror.position();
        }
        return contents.computeIfAbsent(after, this::computeContent);
    }

    private TableMessages.Content computeContent(StorePosition after) {
        Optional<VersionedRows> changes = mirror.changesSince(after);
        if (changes.isEmpty()) {
            return new TableMessages.ChangesUnavailable();
        }
        ImmutableList.Builder<TableMessages.ChangedRow> rows = ImmutableList.builder();
        long bytes = 0;
        for (Row row : changes.get().rows()) {
            Optional<TableMessages.EditedRow> edited = row.value().length > MAX_SENT_BYTES
                    ? mirror.rowAsOf(row.key(), after.version())
                            .filter(earlier -> !earlier.removed())
                            .map(earlier -> edit(earlier, row))
                    : Optional.empty();
            bytes +=
                    row.key().length() + edited.map(edit -> edit.edit().bytes()).orElse((long) row.value().length);
            if (bytes > MAX_SENT_BYTES) {
                return new TableMessages.ChangesTooLarge();
            }
            rows.add(edited.<TableMessages.ChangedRow>map(Function.identity())
                    .orElseGet(() -> new TableMessages.WholeRow(row)));
        }
        return new TableMessages.Changes(rows.build(), changes.get().position());
    }

    private static TableMessages.EditedRow edit(Row earlier, Row row) {
        return new TableMessages.EditedRow(
                row.key(), row.version(), earlier.version(), ValueEdit.between(earlier.value(), row.value()));
    }

    /** Queries the store once, without a wait, to confirm that the known state is current. */
    private void refresh() {
        if (refreshInProgress) {
            return;
        }
        long now = ticker.read();
        if (confirmedAt.isEmpty() || hasStoreFailedRecently(now)) {
            rejectWaiting();
            return;
        }
        refreshInProgress = true;
        callStore(mirror.position(), Duration.ZERO, now).whenComplete((changes, failure) -> {
            refreshInProgress = false;
            if (failure != null) {
                rejectWaiting();
            }
        });
    }

    /** Answers all waiting requests with {@code ChangesUnavailable}, so that the requesting hosts query the store. */
    private void rejectWaiting() {
        long now = ticker.read();
        List.copyOf(waitingRequests).forEach(waiting -> answer(waiting, new TableMessages.ChangesUnavailable(), now));
        waitingRequests.clear();
    }
}
