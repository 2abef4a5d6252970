package org.boragebarrow.peer.wire;

import java.time.Duration;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import org.boragebarrow.peer.proto.Envelope;
import org.boragebarrow.peer.proto.FollowTable;
import org.boragebarrow.peer.proto.TableChanges;
import org.boragebarrow.peer.proto.TableRow;
import org.boragebarrow.port.WatchedTable.Reading;
import org.boragebarrow.port.WatchedTable.Row;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/** Translates what hosts tell one another of tables of the platform's store. */
public final class TableMessages {
    private TableMessages() {}

    /**
     * A question for changes.
     *
     * @param number tells one question of a host from another
     * @param after the version that the asking host knows
     * @param patience how long the answer may wait for a change
     */
    public record Question(long number, String table, long after, Duration patience) {
        public Question {
            checkArgument(!patience.isNegative(), "negative patience: %s", patience);
        }
    }

    /** What another host says of changes. */
    public sealed interface Content {}

    /** The changes themselves. */
    public record Told(Reading changes) implements Content {}

    /** There are changes, which are too large to be told and are to be read from the store. */
    public record TooLarge() implements Content {}

    /** The answering host cannot tell. */
    public record Unknown() implements Content {}

    /**
     * The answer to a question.
     *
     * @param age the time since the store last confirmed what is told
     * @param held the time from the question's arrival to the answer
     */
    public record Answer(long number, String table, Content content, Duration age, Duration held) {
        public Answer {
            checkNotNull(content);
            checkArgument(!age.isNegative(), "negative age: %s", age);
            checkArgument(!held.isNegative(), "negative time: %s", held);
        }
    }

    /** Returns the message of a question. */
    public static Envelope toEnvelope(Question question) {
        return Envelope.newBuilder()
                .setFollowTable(FollowTable.newBuilder()
                        .setQuestion(question.number())
                        .setTable(question.table())
                        .setAfter(question.after())
                        .setWaitMillis(question.patience().toMillis()))
                .build();
    }

    /** Returns the message of an answer. */
    public static Envelope toEnvelope(Answer answer) {
        TableChanges.Builder changes = TableChanges.newBuilder()
                .setQuestion(answer.number())
                .setTable(answer.table())
                .setAgeMillis(answer.age().toMillis())
                .setHeldMillis(answer.held().toMillis());
        switch (answer.content()) {
            case Told told -> {
                changes.setKnown(true).setVersion(told.changes().version());
                told.changes().rows().forEach(row -> changes.addRows(toRow(row)));
            }
            case TooLarge tooLarge -> changes.setTooLarge(true);
            case Unknown unknown -> changes.setKnown(false);
        }
        return Envelope.newBuilder().setTableChanges(changes).build();
    }

    private static TableRow toRow(Row row) {
        return TableRow.newBuilder()
                .setKey(row.key())
                .setValue(ByteString.copyFrom(row.value()))
                .setVersion(row.version())
                .setRemoved(row.removed())
                .build();
    }

    /**
     * Reads a question.
     *
     * @throws IllegalArgumentException if it has a value that is not allowed
     */
    public static Question fromFollow(FollowTable message) {
        return new Question(
                message.getQuestion(),
                message.getTable(),
                message.getAfter(),
                Duration.ofMillis(message.getWaitMillis()));
    }

    /**
     * Reads an answer.
     *
     * @throws IllegalArgumentException if it has a value that is not allowed
     */
    public static Answer fromChanges(TableChanges message) {
        return new Answer(
                message.getQuestion(),
                message.getTable(),
                content(message),
                Duration.ofMillis(message.getAgeMillis()),
                Duration.ofMillis(message.getHeldMillis()));
    }

    private static Content content(TableChanges message) {
        if (message.getTooLarge()) {
            return new TooLarge();
        }
        return message.getKnown() ? new Told(new Reading(rows(message), message.getVersion())) : new Unknown();
    }

    private static ImmutableList<Row> rows(TableChanges message) {
        return message.getRowsList().stream()
                .map(row -> new Row(row.getKey(), row.getValue().toByteArray(), row.getVersion(), row.getRemoved()))
                .collect(ImmutableList.toImmutableList());
    }
}
