package org.boragebarrow.peer.wire;

import java.util.Optional;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.decision.change.Change;
import org.boragebarrow.decision.change.ChangeBatch;
import org.boragebarrow.decision.change.ChangeCodec;
import org.boragebarrow.decision.change.ChangeState;
import org.boragebarrow.peer.proto.Envelope;
import org.boragebarrow.peer.proto.FetchChanges;

import static com.google.common.base.Preconditions.checkNotNull;

/** Converts requests for changes and batches of changes. */
public final class ChangeMessages {
    private final ChangeCodec codec;

    /** Creates a converter that encodes and decodes changes with the codec. */
    public ChangeMessages(ChangeCodec codec) {
        this.codec = checkNotNull(codec);
    }

    /** Returns the message that requests at most {@code limit} changes with numbers higher than {@code after}. */
    public static Envelope fetch(long after, int limit) {
        FetchChanges message =
                FetchChanges.newBuilder().setAfter(after).setLimit(limit).build();
        return Envelope.newBuilder().setFetchChanges(message).build();
    }

    /** Returns the message that carries a batch of changes. */
    public Envelope batch(ChangeBatch batch) {
        org.boragebarrow.peer.proto.ChangeBatch.Builder message = org.boragebarrow.peer.proto.ChangeBatch.newBuilder();
        batch.state().ifPresent(state -> message.setState(codec.encodeState(state)));
        batch.changes().forEach(change -> message.addChanges(codec.encode(change)));
        return Envelope.newBuilder().setChangeBatch(message).build();
    }

    /**
     * Decodes a batch of changes.
     *
     * @throws IllegalArgumentException if the state or a change is malformed
     */
    public ChangeBatch fromBatch(org.boragebarrow.peer.proto.ChangeBatch message) {
        Optional<ChangeState> state =
                message.getState().isEmpty() ? Optional.empty() : Optional.of(codec.decodeState(message.getState()));
        ImmutableList<Change> changes =
                message.getChangesList().stream().map(codec::decode).collect(ImmutableList.toImmutableList());
        return new ChangeBatch(state, changes);
    }
}
