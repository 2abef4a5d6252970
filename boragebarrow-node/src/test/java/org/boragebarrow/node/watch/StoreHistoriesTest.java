package org.boragebarrow.node.watch;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.google.common.collect.ImmutableList;
import io.netty.channel.embedded.EmbeddedChannel;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.boragebarrow.decision.retry.Backoff;
import org.boragebarrow.decision.watch.StoreEras;
import org.boragebarrow.port.StorePosition;
import org.boragebarrow.port.WatchedTable;

import static com.google.common.truth.Truth.assertThat;

/** Guards against followers that end at another state than the store, whatever the store went through. */
class StoreHistoriesTest {
    private static final int KEYS = 5;

    /** What happens next to the store or to a call. */
    private enum Step {
        WRITE,
        REMOVE,
        COPY,
        RESTORE,
        COMPACT,
        ANSWER,
        ANSWER_LATE,
        FAIL,
        WAIT,
        RESTART
    }

    @Property(tries = 2_000, seed = "50")
    void aFollowerEndsAtTheContentOfTheStore(@ForAll @Size(max = 80) List<Step> steps, @ForAll long seed) {
        History history = new History(new Random(seed));
        steps.forEach(history::apply);
        history.settle();

        assertThat(history.followed).isEqualTo(history.store.content());
    }

    /** A store, the calls that wait for its answers, and a follower that starts again when its process does. */
    private static final class History {
        private final Random random;
        private final EmbeddedChannel channel = new EmbeddedChannel();
        private final Store store = new Store();
        private final List<Store> copies = new ArrayList<>();
        private final List<Call> calls = new ArrayList<>();
        private final List<Runnable> late = new ArrayList<>();
        private StoreEras eras = new StoreEras();
        private TableFollower follower;
        private Map<String, Integer> followed = new TreeMap<>();
        private int writes;

        History(Random random) {
            this.random = random;
            channel.freezeTime();
            start();
        }

        private void start() {
            Map<String, Integer> rows = new TreeMap<>();
            followed = rows;
            eras = new StoreEras();
            Backoff backoff = new Backoff(Duration.ofMillis(10), Duration.ofMillis(80), new Random(1));
            follower = new TableFollower(
                    channel.eventLoop(),
                    new Table(eras),
                    backoff,
                    new TableFollower.PollTiming(Duration.ofSeconds(1), Duration.ZERO),
                    new Recorder(rows));
            TableFollower started = follower;
            eras.addListener(era -> channel.eventLoop().execute(() -> started.readAgain(Duration.ofMillis(20))));
            follower.start();
        }

        void apply(Step step) {
            String key = "key" + random.nextInt(KEYS);
            switch (step) {
                case WRITE -> store.write(key, Optional.of(++writes));
                case REMOVE -> store.write(key, Optional.empty());
                case COPY -> copies.add(store.copy());
                case RESTORE -> {
                    if (!copies.isEmpty()) {
                        store.restore(copies.get(random.nextInt(copies.size())));
                    }
                }
                case COMPACT -> store.historyStart = store.version;
                case ANSWER -> takeCall().ifPresent(call -> call.answer(store).run());
                case ANSWER_LATE -> takeCall().ifPresent(call -> late.add(call.answer(store)));
                case FAIL ->
                    takeCall().ifPresent(call -> call.result.completeExceptionally(new IOException("no answer")));
                case WAIT -> {
                    if (!late.isEmpty()) {
                        late.remove(random.nextInt(late.size())).run();
                    }
                }
                case RESTART -> {
                    follower.stop();
                    start();
                }
                default -> throw new AssertionError(step);
            }
            runTasks();
        }

        private Optional<Call> takeCall() {
            return calls.isEmpty() ? Optional.empty() : Optional.of(calls.remove(random.nextInt(calls.size())));
        }

        /** Lets all late answers arrive, and answers calls until nothing changes any more. */
        void settle() {
            late.forEach(Runnable::run);
            runTasks();
            for (int i = 0; i < 20; i++) {
                List.copyOf(calls).forEach(call -> call.answer(store).run());
                calls.clear();
                runTasks();
            }
        }

        private void runTasks() {
            for (int i = 0; i < 3; i++) {
                channel.runPendingTasks();
                channel.advanceTimeBy(100, TimeUnit.MILLISECONDS);
                channel.runScheduledPendingTasks();
            }
        }

        /** The table as the adapter of a store with eras shows it. */
        private final class Table implements WatchedTable {
            private final StoreEras seen;

            Table(StoreEras seen) {
                this.seen = seen;
            }

            @Override
            public String name() {
                return "table";
            }

            @Override
            public CompletableFuture<VersionedRows> read() {
                return call(Optional.empty());
            }

            @Override
            public CompletableFuture<VersionedRows> changes(StorePosition after, Duration wait) {
                return call(Optional.of(after));
            }

            private CompletableFuture<VersionedRows> call(Optional<StorePosition> after) {
                Call call = new Call(seen, after);
                calls.add(call);
                return call.result;
            }

            @Override
            public CompletableFuture<Boolean> put(String key, byte[] value, Optional<StorePosition> expected) {
                return CompletableFuture.completedFuture(false);
            }
        }
    }

    /** A call that waits for its answer; empty {@code after} stands for a full read. */
    private record Call(
            StoreEras seen, Optional<StorePosition> after, CompletableFuture<WatchedTable.VersionedRows> result) {
        Call(StoreEras seen, Optional<StorePosition> after) {
            this(seen, after, new CompletableFuture<>());
        }

        /** Computes the answer now; it arrives when the action runs. */
        Runnable answer(Store store) {
            long era = store.era;
            long from = after.map(StorePosition::version).orElse(0L);
            boolean lost = after.isPresent() && (from < store.historyStart || from > store.version);
            ImmutableList<WatchedTable.Row> rows = store.rowsAfter(from, after.isEmpty());
            StorePosition position = new StorePosition(era, store.version);
            return () -> {
                if (!seen.observe(era)) {
                    result.completeExceptionally(new IOException("an answer of an earlier era"));
                } else if (lost || after.map(asked -> asked.era() != era).orElse(false)) {
                    result.completeExceptionally(new WatchedTable.HistoryLostException("lost"));
                } else {
                    result.complete(new WatchedTable.VersionedRows(rows, position));
                }
            };
        }
    }

    /** A store with versions, eras and copies. */
    private static final class Store {
        private final Map<String, Entry> entries = new TreeMap<>();
        private long version;
        private long historyStart;
        private long era;

        /** A value, or its removal. */
        private record Entry(Optional<Integer> value, long version) {}

        void write(String key, Optional<Integer> value) {
            entries.put(key, new Entry(value, ++version));
        }

        Store copy() {
            Store copy = new Store();
            copy.entries.putAll(entries);
            copy.version = version;
            copy.historyStart = historyStart;
            return copy;
        }

        void restore(Store copy) {
            entries.clear();
            entries.putAll(copy.entries);
            version = copy.version;
            historyStart = copy.historyStart;
            era++;
        }

        ImmutableList<WatchedTable.Row> rowsAfter(long from, boolean presentOnly) {
            ImmutableList.Builder<WatchedTable.Row> rows = ImmutableList.builder();
            entries.forEach((key, entry) -> {
                if (entry.version() > from && (entry.value().isPresent() || !presentOnly)) {
                    byte[] value = {entry.value().orElse(0).byteValue()};
                    rows.add(new WatchedTable.Row(
                            key,
                            value,
                            new StorePosition(era, entry.version()),
                            entry.value().isEmpty()));
                }
            });
            return rows.build();
        }

        Map<String, Integer> content() {
            Map<String, Integer> content = new TreeMap<>();
            entries.forEach((key, entry) -> entry.value().ifPresent(value -> content.put(key, value)));
            return content;
        }
    }

    /** Keeps the rows that a follower has received. */
    private record Recorder(Map<String, Integer> rows) implements TableFollower.Listener {
        @Override
        public void onFullRead(WatchedTable.VersionedRows read) {
            rows.clear();
            onChanges(read);
        }

        @Override
        public void onChanges(WatchedTable.VersionedRows changes) {
            for (WatchedTable.Row row : changes.rows()) {
                if (row.removed()) {
                    rows.remove(row.key());
                } else {
                    rows.put(row.key(), (int) row.value()[0]);
                }
            }
        }

        @Override
        public void onUnavailable(String reason) {}

        @Override
        public void onAvailable() {}
    }
}
