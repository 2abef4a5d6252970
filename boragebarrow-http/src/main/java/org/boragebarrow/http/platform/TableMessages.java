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

    /** Requests the row of a key. */
    public record GetRequest(String key) {
        public GetRequest {
            checkNotNull(key);
        }
    }

    /** Requests up to {@code limit} rows whose keys start with the prefix. */
    public record ScanRequest(String prefix, int limit) {
        public ScanRequest {
            checkNotNull(prefix);
        }
    }

    /** The response to a get, with at most one row, or to a scan, with the rows in key order. */
    public record RowsAnswer(List<Row> rows) {
        public RowsAnswer {
            rows = ImmutableList.copyOf(rows);
        }
    }

    /** Requests a commit. */
    public record CommitRequest(List<Condition> conditions, List<WriteMessage> writes) {
        public CommitRequest {
            conditions = ImmutableList.copyOf(conditions);
            writes = ImmutableList.copyOf(writes);
        }

        /** Creates a request from the values of the port. */
        public static CommitRequest of(ImmutableList<Condition> conditions, ImmutableList<Write> writes) {
            ImmutableList.Builder<WriteMessage> messages = ImmutableList.builder();
            for (Write write : writes) {
                messages.add(new WriteMessage(
                        write.key(), write.value().isEmpty(), write.value().orElse("")));
            }
            return new CommitRequest(conditions, messages.build());
        }

        /** Converts the writes to the values of the port. */
        public ImmutableList<Write> toWrites() {
            ImmutableList.Builder<Write> values = ImmutableList.builder();
            for (WriteMessage message : writes) {
                values.add(new Write(message.key, message.delete ? Optional.empty() : Optional.of(message.value)));
            }
            return values.build();
        }
    }

    /** A write of a value, or a deletion of the key; the value of a deletion is empty. */
    public record WriteMessage(String key, boolean delete, String value) {
        public WriteMessage {
            checkNotNull(key);
            checkNotNull(value);
        }
    }

    /** The response to a commit. */
    public record CommitAnswer(CommitOutcome outcome) {
        public CommitAnswer {
            checkNotNull(outcome);
        }
    }

    /** The outcome of a commit whose conditions the service evaluated. */
    public enum CommitOutcome {
        /** All writes were applied. */
        COMMITTED,
        /** A condition was not met; no write was applied. */
        CONFLICT
    }
}
