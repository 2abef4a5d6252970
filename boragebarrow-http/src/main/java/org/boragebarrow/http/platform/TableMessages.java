package org.boragebarrow.http.platform;

import java.util.List;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.port.TableService.Condition;
import org.boragebarrow.port.TableService.Row;
import org.boragebarrow.port.TableService.Write;

import static com.google.common.base.Preconditions.checkNotNull;

/** The JSON messages of the table service. */
public final class TableMessages {
    private TableMessages() {}

    /** Asks for the row at a key. */
    public record GetRequest(String key) {
        public GetRequest {
            checkNotNull(key);
        }
    }

    /** Asks for up to {@code limit} rows whose keys start with the prefix. */
    public record ScanRequest(String prefix, int limit) {
        public ScanRequest {
            checkNotNull(prefix);
        }
    }

    /** Answers a get with no or one row, and a scan with the rows in key order. */
    public record RowsAnswer(List<Row> rows) {
        public RowsAnswer {
            rows = ImmutableList.copyOf(rows);
        }
    }

    /** Asks for a commit. */
    public record CommitRequest(List<Condition> conditions, List<WriteMessage> writes) {
        public CommitRequest {
            conditions = ImmutableList.copyOf(conditions);
            writes = ImmutableList.copyOf(writes);
        }

        /** Returns the request of the port's values. */
        public static CommitRequest of(ImmutableList<Condition> conditions, ImmutableList<Write> writes) {
            ImmutableList.Builder<WriteMessage> messages = ImmutableList.builder();
            for (Write write : writes) {
                messages.add(new WriteMessage(
                        write.key(), write.value().isEmpty(), write.value().orElse("")));
            }
            return new CommitRequest(conditions, messages.build());
        }

        /** Returns the writes as the port's values. */
        public ImmutableList<Write> toWrites() {
            ImmutableList.Builder<Write> values = ImmutableList.builder();
            for (WriteMessage message : writes) {
                values.add(new Write(message.key, message.delete ? Optional.empty() : Optional.of(message.value)));
            }
            return values.build();
        }
    }

    /** Writes a value, or deletes the key and carries an empty value. */
    public record WriteMessage(String key, boolean delete, String value) {
        public WriteMessage {
            checkNotNull(key);
            checkNotNull(value);
        }
    }

    /** Answers a commit. */
    public record CommitAnswer(CommitOutcome outcome) {
        public CommitAnswer {
            checkNotNull(outcome);
        }
    }

    /** What became of a commit that the service decided on. */
    public enum CommitOutcome {
        /** All writes took effect. */
        COMMITTED,
        /** A condition did not hold; nothing took effect. */
        CONFLICT
    }
}
