package org.boragebarrow.node.watch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.google.common.base.Throwables;
import com.google.common.base.Ticker;
import io.netty.channel.EventLoop;
import org.boragebarrow.decision.placement.SizedHost;
import org.boragebarrow.decision.watch.TableMirror;
import org.boragebarrow.decision.watch.WatcherChoice;
import org.boragebarrow.model.HostId;
import org.boragebarrow.peer.proto.Envelope;
import org.boragebarrow.peer.wire.TableMessages;
import org.boragebarrow.port.WatchedTable;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A table of the store of which one host of a large zone tells the others, so that most hosts need not ask the store.
 * While the store does not serve this host, any host of its zone is asked.
 *
 * <p>Confined to the event loop. What another host tells is taken only if the store confirmed it a short time ago,
 * counted from this host's question, so that no delay on the way makes it look fresher; else the store itself is asked.
 */
public final class SharedTable implements WatchedTable {
    /** The oldest confirmation that is taken: with a question's time and a call, half of the time to apply a change. */
    static final Duration MAX_AGE = Duration.ofMillis(1_000);

    /** The oldest confirmation that is told to others; below {@link #MAX_AGE} by a way. */
    static final Duration TOLD_AGE = Duration.ofMillis(900);

    /** How long a call of a host that tells others waits at the store: the last one confirms until the next returns. */
    static final Duration WATCHER_WAIT = Duration.ofMillis(420);

    /** How long another host holds a question without a change. */
    static final Duration HOLD = Duration.ofMillis(500);

    /** What an answer may take beyond that: a link that is set up first, and a busy event loop. */
    static final Duration ANSWER_SLACK = Duration.ofMillis(300);

    /**
     * The largest changes that are told, in bytes of keys and values; the store serves larger ones. Told to the 40 hosts of
     * a large zone, they take a link of 14 Mbit/s for less than a tenth of a second, half of the time by which a stream's
     * events may be late.
     */
    static final long MAX_TOLD_BYTES = 4_000;

    /** How long after the last question a host still counts as one that others ask. */
    private static final Duration ASKED_LATELY = Duration.ofSeconds(3);

    /** How long after a call that failed other hosts are asked in place of the store; then it is tried again. */
    private static final Duration TURNED_AWAY = Duration.ofSeconds(3);

    private static final int MAX_REMOVED = 1_000;

    private final WatchedTable store;
    private final EventLoop loop;
    private final Ticker ticker;
    private final Peers peers;
    private final WatcherChoice choice;
    private final TableMirror mirror = new TableMirror(MAX_REMOVED);
    private final Map<Long, Asked> asked = new HashMap<>();
    private final List<Held> held = new ArrayList<>();
    private Optional<Long> confirmedAt = Optional.empty();
    private Optional<Long> questionedAt = Optional.empty();
    private Optional<Long> failedAt = Optional.empty();
    private boolean confirming;
    private long questions;

    /** The other hosts. */
    public interface Peers {
        /** Sends a message to a host; one that cannot be sent is dropped. */
        void send(HostId host, Envelope message);

        /** Takes note of changes that a host told, confirmed by the store so long ago at most. */
        void onTold(HostId host, Reading changes, Duration asked, Duration age);

        /** Takes note that the store is asked instead of a host, which is passed over for a while. */
        void onPassedOver(HostId host, Duration asked, String reason);
    }

    /** A question of this host. */
    private record Asked(HostId host, long at, CompletableFuture<Reading> answer) {}

    /** A question of another host that waits for a change. */
    private record Held(HostId host, TableMessages.Question question, long since) {
        boolean isDue(long now) {
            return now - since >= question.patience().toNanos();
        }
    }

    /** Reports that another host did not tell what changed. */
    private static final class UntoldException extends Exception {
        private static final long serialVersionUID = 1L;

        UntoldException(String message) {
            super(message);
        }
    }

    /** Creates a table that is read from the store until other hosts are known. */
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
    public CompletableFuture<Boolean> put(String key, byte[] value, OptionalLong expected) {
        return store.put(key, value, expected);
    }

    @Override
    public CompletableFuture<Reading> read() {
        long now = ticker.read();
        return store.read()
                .thenApplyAsync(
                        reading -> {
                            mirror.replace(reading);
                            confirm(now);
                            return reading;
                        },
                        loop);
    }

    @Override
    public CompletableFuture<Reading> changes(long after, Duration wait) {
        long now = ticker.read();
        Optional<HostId> teller = isTurnedAway(now) ? choice.other(now) : choice.watcher(now);
        if (teller.isEmpty()) {
            return fromStore(after, wait);
        }
        return ask(teller.get(), after)
                .handle((reading, failure) ->
                        failure == null ? CompletableFuture.completedFuture(reading) : fromStore(after, wait))
                .thenCompose(answer -> answer);
    }

    private CompletableFuture<Reading> fromStore(long after, Duration wait) {
        long now = ticker.read();
        boolean tellsOthers = isWithin(questionedAt, ASKED_LATELY, now);
        Duration shorter = tellsOthers && wait.compareTo(WATCHER_WAIT) > 0 ? WATCHER_WAIT : wait;
        return callStore(after, shorter, now);
    }

    private CompletableFuture<Reading> callStore(long after, Duration wait, long now) {
        return store.changes(after, wait)
                .whenCompleteAsync((changes, failure) -> noteServed(Optional.ofNullable(failure), now), loop)
                .thenApply(changes -> takeChanges(after, changes, now));
    }

    /** A store that lost its history serves, though not what it was asked for. */
    private void noteServed(Optional<Throwable> failure, long now) {
        failedAt = failure.filter(thrown -> !(Throwables.getRootCause(thrown) instanceof HistoryLostException))
                .map(thrown -> now);
    }

    private boolean isTurnedAway(long now) {
        return isWithin(failedAt, TURNED_AWAY, now);
    }

    private Reading takeChanges(long after, Reading changes, long asOf) {
        if (after <= mirror.version()) {
            mirror.add(changes);
            confirm(asOf);
        }
        return changes;
    }

    private void confirm(long asOf) {
        if (confirmedAt.isEmpty() || asOf - confirmedAt.get() > 0) {
            confirmedAt = Optional.of(asOf);
        }
        answerHeld();
    }

    private static boolean isWithin(Optional<Long> since, Duration time, long now) {
        return since.isPresent() && now - since.get() <= time.toNanos();
    }

    private CompletableFuture<Reading> ask(HostId host, long after) {
        long number = ++questions;
        CompletableFuture<Reading> answer = new CompletableFuture<>();
        asked.put(number, new Asked(host, ticker.read(), answer));
        loop.schedule(() -> fail(number, "no answer"), HOLD.plus(ANSWER_SLACK).toMillis(), TimeUnit.MILLISECONDS);
        peers.send(host, TableMessages.toEnvelope(new TableMessages.Question(number, name(), after, HOLD)));
        return answer;
    }

    private void fail(long number, String reason) {
        Asked question = asked.remove(number);
        if (question != null) {
            long now = ticker.read();
            choice.failed(question.host(), now);
            peers.onPassedOver(question.host(), Duration.ofNanos(now - question.at()), reason);
            question.answer().completeExceptionally(new UntoldException(question.host() + ": " + reason));
        }
    }

    /** Takes the answer to a question; one that comes too late is ignored. */
    void onAnswer(HostId host, TableMessages.Answer answer) {
        Asked question = asked.get(answer.number());
        if (question == null || !question.host().equals(host)) {
            return;
        }
        long asOf = question.at() + answer.held().minus(answer.age()).toNanos();
        if (!isWithin(Optional.of(asOf), MAX_AGE, ticker.read())) {
            fail(answer.number(), "knew it " + answer.age().toMillis() + " ms ago");
            return;
        }
        switch (answer.content()) {
            case TableMessages.Told told -> {
                asked.remove(answer.number());
                take(question, told.changes(), asOf);
            }
            case TableMessages.TooLarge tooLarge -> {
                asked.remove(answer.number());
                question.answer().completeExceptionally(new UntoldException(host + ": the changes are too large"));
            }
            case TableMessages.Unknown unknown -> fail(answer.number(), "knows too little");
        }
    }

    private void take(Asked question, Reading changes, long asOf) {
        if (!changes.rows().isEmpty()) {
            long now = ticker.read();
            peers.onTold(question.host(), changes, Duration.ofNanos(now - question.at()), Duration.ofNanos(now - asOf));
        }
        mirror.add(changes);
        confirm(asOf);
        question.answer().complete(changes);
    }

    /** Takes another host's question, which is answered at the next change or when its time is over. */
    void onQuestion(HostId host, TableMessages.Question question) {
        questionedAt = Optional.of(ticker.read());
        held.add(new Held(host, question, ticker.read()));
        loop.schedule(this::answerHeld, question.patience().toMillis() + 1, TimeUnit.MILLISECONDS);
        answerHeld();
    }

    /** Answers what can be answered; what is known for too long is confirmed first. */
    private void answerHeld() {
        long now = ticker.read();
        boolean fresh = isWithin(confirmedAt, TOLD_AGE, now);
        for (Held waiting : List.copyOf(held)) {
            if (fresh && (isChanged(waiting) || waiting.isDue(now))) {
                held.remove(waiting);
                answer(waiting, content(waiting.question().after()), now);
            }
        }
        if (!fresh && !held.isEmpty()) {
            refresh();
        }
    }

    /** Returns whether there is a change to tell, or the asking host has to ask the store. */
    private boolean isChanged(Held waiting) {
        return mirror.since(waiting.question().after())
                .map(changes -> !changes.rows().isEmpty())
                .orElse(true);
    }

    private void answer(Held waiting, TableMessages.Content content, long now) {
        TableMessages.Answer answer = new TableMessages.Answer(
                waiting.question().number(),
                name(),
                content,
                Duration.ofNanos(now - confirmedAt.orElse(now)),
                Duration.ofNanos(now - waiting.since()));
        peers.send(waiting.host(), TableMessages.toEnvelope(answer));
    }

    private TableMessages.Content content(long after) {
        Optional<Reading> changes = mirror.since(after);
        if (changes.isEmpty()) {
            return new TableMessages.Unknown();
        }
        boolean large = changes.get().bytes() > MAX_TOLD_BYTES;
        return large ? new TableMessages.TooLarge() : new TableMessages.Told(changes.get());
    }

    /** Asks the store once whether what is known is still the newest. */
    private void refresh() {
        if (confirming) {
            return;
        }
        long now = ticker.read();
        if (confirmedAt.isEmpty() || isTurnedAway(now)) {
            giveUpHeld();
            return;
        }
        confirming = true;
        callStore(mirror.version(), Duration.ZERO, now).whenComplete((changes, failure) -> {
            confirming = false;
            if (failure != null) {
                giveUpHeld();
            }
        });
    }

    /** Tells all hosts that wait for an answer that they have to look elsewhere. */
    private void giveUpHeld() {
        long now = ticker.read();
        List.copyOf(held).forEach(waiting -> answer(waiting, new TableMessages.Unknown(), now));
        held.clear();
    }
}
