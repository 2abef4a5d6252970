package org.boragebarrow.peer.wire;

import com.google.protobuf.InvalidProtocolBufferException;
import org.boragebarrow.decision.quarantine.PartKey;
import org.boragebarrow.decision.quarantine.QuarantineEntry;
import org.boragebarrow.model.PromptPartId;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.peer.proto.Envelope;

/**
 * Converts entries of the quarantine, which are sent between hosts and stored as rows.
 *
 * <p>Methods that decode throw {@link IllegalArgumentException} on bytes and values that the types do not allow.
 */
public final class QuarantineMessages {
    private QuarantineMessages() {}

    /** Returns the message that announces an entry. */
    public static Envelope toEnvelope(QuarantineEntry entry) {
        return Envelope.newBuilder().setQuarantineEntry(toMessage(entry)).build();
    }

    /** Returns the value of an entry's row. */
    public static byte[] toBytes(QuarantineEntry entry) {
        return toMessage(entry).toByteArray();
    }

    private static org.boragebarrow.peer.proto.QuarantineEntry toMessage(QuarantineEntry entry) {
        return org.boragebarrow.peer.proto.QuarantineEntry.newBuilder()
                .setService(entry.key().service().value())
                .setPart(entry.key().part().value())
                .setLifted(entry.lifted())
                .setRevision(entry.revision())
                .setAuthor(entry.author())
                .setReason(entry.reason())
                .setOffences(entry.offences())
                .setChangedAtMillis(entry.changedAtMillis())
                .build();
    }

    /** Decodes the value of a row. */
    public static QuarantineEntry fromBytes(byte[] bytes) {
        try {
            return fromMessage(org.boragebarrow.peer.proto.QuarantineEntry.parseFrom(bytes));
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("malformed quarantine entry: " + e.getMessage(), e);
        }
    }

    /** Decodes a message. */
    public static QuarantineEntry fromMessage(org.boragebarrow.peer.proto.QuarantineEntry message) {
        return new QuarantineEntry(
                new PartKey(ServiceName.of(message.getService()), PromptPartId.of(message.getPart())),
                message.getLifted(),
                message.getRevision(),
                message.getAuthor(),
                message.getReason(),
                message.getOffences(),
                message.getChangedAtMillis());
    }
}
