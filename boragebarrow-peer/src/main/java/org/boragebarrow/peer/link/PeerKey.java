package org.boragebarrow.peer.link;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.SecureRandom;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;

import static com.google.common.base.Preconditions.checkArgument;

/** The shared key with which the hosts of one deployment authenticate each other. */
public final class PeerKey {
    /** The minimum length of a key, in bytes. */
    public static final int MIN_BYTES = 16;

    private static final int NONCE_BYTES = 32;
    private static final SecureRandom RANDOM = new SecureRandom();

    private final HashFunction mac;

    private PeerKey(byte[] key) {
        this.mac = Hashing.hmacSha256(key);
    }

    /**
     * Returns a key with a copy of the given bytes.
     *
     * @throws IllegalArgumentException if there are fewer than {@link #MIN_BYTES} bytes
     */
    public static PeerKey of(byte[] key) {
        checkArgument(key.length >= MIN_BYTES, "the peer key has %s bytes, fewer than %s", key.length, MIN_BYTES);
        return new PeerKey(key.clone());
    }

    static byte[] newNonce() {
        byte[] nonce = new byte[NONCE_BYTES];
        RANDOM.nextBytes(nonce);
        return nonce;
    }

    /** Returns the HMAC-SHA256 of the purpose, both nonces and the identity, each preceded by its length. */
    byte[] sign(String purpose, byte[] challenge, byte[] nonce, String identity) {
        Hasher hasher = mac.newHasher();
        putLengthPrefixed(hasher, purpose.getBytes(StandardCharsets.UTF_8));
        putLengthPrefixed(hasher, challenge);
        putLengthPrefixed(hasher, nonce);
        putLengthPrefixed(hasher, identity.getBytes(StandardCharsets.UTF_8));
        return hasher.hash().asBytes();
    }

    boolean verify(byte[] code, String purpose, byte[] challenge, byte[] nonce, String identity) {
        return MessageDigest.isEqual(code, sign(purpose, challenge, nonce, identity));
    }

    private static void putLengthPrefixed(Hasher hasher, byte[] part) {
        hasher.putInt(part.length).putBytes(part);
    }
}
