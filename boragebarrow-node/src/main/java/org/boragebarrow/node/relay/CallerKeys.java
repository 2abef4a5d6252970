package org.boragebarrow.node.relay;

import java.nio.ByteBuffer;
import java.util.Optional;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.model.PromptPartId;

/**
 * Computes keys that are equal for the repeated requests of one caller for the same thing.
 *
 * <p>Two callers with equal requests have equal keys; one of them then returns at the place of the other, which gains
 * neither of them anything.
 */
final class CallerKeys {
    /** Maximum number of bytes of a body that are read; the rest seldom distinguishes requests of equal length. */
    private static final int MAX_BODY_BYTES = 512;

    private static final HashFunction HASH = Hashing.murmur3_128(0);

    private CallerKeys() {}

    /** Returns the key of a request; never 0, which stands for an unknown caller. */
    static long of(RelayRequest request, Optional<OrganisationId> organisation) {
        Hasher hasher = HASH.newHasher();
        hasher.putUnencodedChars(organisation.map(OrganisationId::value).orElse(""));
        hasher.putUnencodedChars(request.method()).putUnencodedChars(request.requestTarget());
        hasher.putUnencodedChars(
                request.promptParts().own().map(PromptPartId::value).orElse(""));
        request.promptSize().ifPresent(size -> hasher.putLong(size.promptTokens()));
        putBody(hasher, request);
        long key = hasher.hash().asLong();
        return key == 0 ? 1 : key;
    }

    private static void putBody(Hasher hasher, RelayRequest request) {
        int left = MAX_BODY_BYTES;
        int length = 0;
        for (ByteBuffer part : request.body()) {
            ByteBuffer read = part.duplicate();
            length += read.remaining();
            read.limit(read.position() + Math.min(left, read.remaining()));
            left -= read.remaining();
            hasher.putBytes(read);
        }
        hasher.putInt(length);
    }
}
