package org.boragebarrow.decision.claim;

import com.google.common.hash.Hashing;
import org.boragebarrow.model.OrganisationId;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;
import static java.nio.charset.StandardCharsets.UTF_8;

/**
 * Identifies the claim of one idempotency key of one organisation.
 *
 * @param keyHash the lower-case hexadecimal SHA-256 hash of the idempotency key
 */
public record ClaimKey(OrganisationId organisation, String keyHash) {
    public ClaimKey {
        checkNotNull(organisation);
        checkArgument(keyHash.length() == Hashing.sha256().bits() / 4, "not a SHA-256 hash: \"%s\"", keyHash);
    }

    /** Returns the claim key of an idempotency key, which is given as the caller sent it. */
    public static ClaimKey of(OrganisationId organisation, String idempotencyKey) {
        return new ClaimKey(
                organisation, Hashing.sha256().hashString(idempotencyKey, UTF_8).toString());
    }

    /** Returns the key of the claim's row in the table. */
    public String rowKey() {
        return ClaimRows.prefix(organisation) + keyHash;
    }
}
