package org.boragebarrow.peer.wire;

import java.time.Duration;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import org.boragebarrow.peer.proto.Envelope;
import org.boragebarrow.peer.proto.FollowTable;
import org.boragebarrow.peer.proto.TableChanges;
import org.boragebarrow.peer.proto.TableRow;
import org.boragebarrow.port.WatchedTable.Reading;
import org.boragebarrow.port.WatchedTable.Row;

import static com.google.common.base.Preconditions.checkArgument;

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

    /**
     * The answer to a question.
     *
     * @param reading the changes, or empty if the answering host cannot tell
     * @param age the time since the store last confirmed what is told
     * @param held the time from the question's arrival to the answer
     */
    public record Answer(long number, String table, Optional<Reading> reading, Duration age, Duration held) {
        public Answer {
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
                .setKnown(answer.reading().isPresent())
                .setAgeMillis(answer.age().toMillis())
                .setHeldMillis(answer.held().toMillis());
        answer.reading().ifPresent(reading -> {
            changes.setVersion(reading.version());
            reading.rows().forEach(row -> changes.addRows(toRow(row)));
        });
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
        Optional<Reading> reading =
                message.getKnown() ? Optional.of(new Reading(rows(message), message.getVersion())) : Optional.empty();
        return new Answer(
                message.getQuestion(),
                message.getTable(),
                reading,
                Duration.ofMillis(message.getAgeMillis()),
                Duration.ofMillis(message.getHeldMillis()));
    }

    private static ImmutableList<Row> rows(TableChanges message) {
        return message.getRowsList().stream()
                .map(row -> new Row(row.getKey(), row.getValue().toByteArray(), row.getVersion(), row.getRemoved()))
                .collect(ImmutableList.toImmutableList());
    }
}
