package org.boragebarrow.node.front;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;

import com.google.common.collect.ImmutableListMultimap;
import com.google.common.hash.Hashing;
import org.boragebarrow.model.Configuration;
import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.model.Plan;

import static com.google.common.base.Preconditions.checkNotNull;

/** Maps API keys to organisations. Immutable; a new one is created for each configuration. */
public final class Authenticator {
    private static final String SCHEME = "Bearer ";
    private static final int HASH_PREFIX_CHARACTERS = 8;

    private final ImmutableListMultimap<String, Entry> entriesByHashPrefix;

    private record Entry(byte[] hash, OrganisationId organisation) {}

    private Authenticator(ImmutableListMultimap<String, Entry> entriesByHashPrefix) {
        this.entriesByHashPrefix = entriesByHashPrefix;
    }

    /** Returns an authenticator over the keys of all plans. */
    public static Authenticator of(Configuration configuration) {
        ImmutableListMultimap.Builder<String, Entry> entries = ImmutableListMultimap.builder();
        for (Plan plan : configuration.plans().values()) {
            for (String hash : plan.keyHashes()) {
                if (hash.length() > HASH_PREFIX_CHARACTERS) {
                    Entry entry = new Entry(hash.getBytes(StandardCharsets.US_ASCII), plan.organisation());
                    entries.put(hash.substring(0, HASH_PREFIX_CHARACTERS), entry);
                }
            }
        }
        return new Authenticator(entries.build());
    }

    /**
     * Returns the organisation of the API key in an {@code Authorization} header, or empty if the header has no valid
     * key. Complete hashes are compared in constant time.
     */
    public Optional<OrganisationId> authenticate(Optional<String> authorization) {
        Optional<String> key = checkNotNull(authorization)
                .filter(text -> text.startsWith(SCHEME))
                .map(text -> text.substring(SCHEME.length()));
        if (key.isEmpty()) {
            return Optional.empty();
        }
        String hash = hashOf(key.get());
        byte[] bytes = hash.getBytes(StandardCharsets.US_ASCII);
        for (Entry entry : entriesByHashPrefix.get(hash.substring(0, HASH_PREFIX_CHARACTERS))) {
            if (MessageDigest.isEqual(entry.hash(), bytes)) {
                return Optional.of(entry.organisation());
            }
        }
        return Optional.empty();
    }

    /** Returns the hash of a key as plans store it: SHA-256 in hexadecimal. */
    public static String hashOf(String key) {
        return Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
    }
}
