package org.boragebarrow.peer.wire;

import java.time.Duration;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import org.boragebarrow.decision.watch.ValueEdit;
import org.boragebarrow.peer.proto.Envelope;
import org.boragebarrow.peer.proto.FollowTable;
import org.boragebarrow.peer.proto.TableChanges;
import org.boragebarrow.peer.proto.TableRow;
import org.boragebarrow.peer.proto.ValuePart;
import org.boragebarrow.port.StorePosition;
import org.boragebarrow.port.WatchedTable.Row;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/** Converts the messages in which hosts send each other changes of tables of the platform's store. */
public final class TableMessages {
    private TableMessages() {}

    /**
     * A request for changes.
     *
     * @param number identifies the request among those of the requesting host
     * @param after the position of the table that the requesting host has
     * @param maxWait the maximum time for which the answer may be delayed while there is no change
     */
    public record ChangesRequest(long number, String table, StorePosition after, Duration maxWait) {
        public ChangesRequest {
            checkArgument(!maxWait.isNegative(), "negative maximum wait: %s", maxWait);
        }
    }

    /** The content of an answer. */
    public sealed interface Content {}

    /** The changes after the requested position, all of them in its era. */
    public record Changes(ImmutableList<ChangedRow> rows, StorePosition position) implements Content {}

    /** The changes are too large for one message; the requesting host has to read them from the store. */
    public record ChangesTooLarge() implements Content {}

    /** The answering host does not have the changes after the requested position. */
    public record ChangesUnavailable() implements Content {}

    /**
     * The answer to a request.
     *
     * @param age the time since the store last confirmed the content
     * @param holdTime the time from the arrival of the request to the answer
     */
    public record Answer(long number, String table, Content content, Duration age, Duration holdTime) {
        public Answer {
            checkNotNull(content);
            checkArgument(!age.isNegative(), "negative age: %s", age);
            checkArgument(!holdTime.isNegative(), "negative hold time: %s", holdTime);
        }
    }

    /** A changed row. */
    public sealed interface ChangedRow {}

    /** A row with its value. */
    public record WholeRow(Row row) implements ChangedRow {}

    /**
     * A row whose value is given by its difference from an earlier one.
     *
     * @param earlierVersion the version of the row to which the difference applies
     */
    public record EditedRow(String key, long version, long earlierVersion, ValueEdit edit) implements ChangedRow {}

    /** Encodes a request. */
    public static Envelope toEnvelope(ChangesRequest request) {
        return Envelope.newBuilder()
                .setFollowTable(FollowTable.newBuilder()
                        .setQuestion(request.number())
                        .setTable(request.table())
                        .setAfter(request.after().version())
                        .setEra(request.after().era())
                        .setWaitMillis(request.maxWait().toMillis()))
                .build();
    }

    /** Encodes an answer. */
    public static Envelope toEnvelope(Answer answer) {
        TableChanges.Builder message = TableChanges.newBuilder()
                .setQuestion(answer.number())
                .setTable(answer.table())
                .setAgeMillis(answer.age().toMillis())
                .setHeldMillis(answer.holdTime().toMillis());
        switch (answer.content()) {
            case Changes changes -> {
                message.setKnown(true)
                        .setVersion(changes.position().version())
                        .setEra(changes.position().era());
                changes.rows().forEach(row -> message.addRows(toRow(row)));
            }
            case ChangesTooLarge tooLarge -> message.setTooLarge(true);
            case ChangesUnavailable unavailable -> message.setKnown(false);
        }
        return Envelope.newBuilder().setTableChanges(message).build();
    }

    private static TableRow toRow(ChangedRow row) {
        return switch (row) {
            case WholeRow whole -> toRow(whole.row());
            case EditedRow edited -> toRow(edited);
        };
    }

    private static TableRow toRow(EditedRow row) {
        TableRow.Builder message = TableRow.newBuilder()
                .setKey(row.key())
                .setVersion(row.version())
                .setEarlierVersion(row.earlierVersion())
                .setChecksum(row.edit().checksum());
        for (ValueEdit.Part part : row.edit().parts()) {
            message.addParts(
                    switch (part) {
                        case ValueEdit.Copy copy ->
                            ValuePart.newBuilder().setOffset(copy.offset()).setLength(copy.length());
                        case ValueEdit.Insert insert ->
                            ValuePart.newBuilder().setInserted(ByteString.copyFrom(insert.bytes()));
                    });
        }
        return message.build();
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
     * Decodes a request.
     *
     * @throws IllegalArgumentException if a value is not allowed
     */
    public static ChangesRequest fromRequest(FollowTable message) {
        return new ChangesRequest(
                message.getQuestion(),
                message.getTable(),
                new StorePosition(message.getEra(), message.getAfter()),
                Duration.ofMillis(message.getWaitMillis()));
    }

    /**
     * Decodes an answer.
     *
     * @throws IllegalArgumentException if a value is not allowed
     */
    public static Answer fromAnswer(TableChanges message) {
        return new Answer(
                message.getQuestion(),
                message.getTable(),
                content(message),
                Duration.ofMillis(message.getAgeMillis()),
                Duration.ofMillis(message.getHeldMillis()));
    }

    private static Content content(TableChanges message) {
        if (message.getTooLarge()) {
            return new ChangesTooLarge();
        }
        return message.getKnown()
                ? new Changes(rows(message), new StorePosition(message.getEra(), message.getVersion()))
                : new ChangesUnavailable();
    }

    private static ImmutableList<ChangedRow> rows(TableChanges message) {
        return message.getRowsList().stream()
                .map(row -> fromRow(row, message.getEra()))
                .collect(ImmutableList.toImmutableList());
    }

    private static ChangedRow fromRow(TableRow row, long era) {
        if (row.getPartsCount() == 0) {
            return new WholeRow(new Row(
                    row.getKey(),
                    row.getValue().toByteArray(),
                    new StorePosition(era, row.getVersion()),
                    row.getRemoved()));
        }
        ImmutableList<ValueEdit.Part> parts = row.getPartsList().stream()
                .map(part -> part.getLength() > 0
                        ? new ValueEdit.Copy(part.getOffset(), part.getLength())
                        : new ValueEdit.Insert(part.getInserted().toByteArray()))
                .collect(ImmutableList.toImmutableList());
        return new EditedRow(
                row.getKey(), row.getVersion(), row.getEarlierVersion(), new ValueEdit(parts, row.getChecksum()));
    }
}
