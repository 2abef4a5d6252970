package org.boragebarrow.node.admin;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

import com.google.common.hash.Hashing;
import org.boragebarrow.http.server.ServerRequest;
import org.boragebarrow.model.ErrorKind;
import org.boragebarrow.model.RequestException;
import org.boragebarrow.node.settings.Secret;

/** The token that operators' requests carry, kept as its SHA-256 hash. Immutable. */
final class OperatorToken {
    private static final String BEARER_PREFIX = "Bearer ";

    private final byte[] hash;

    OperatorToken(Secret token) {
        this.hash = Hashing.sha256().hashBytes(token.bytes()).asBytes();
    }

    /** Throws a {@link RequestException} unless the request carries the token. */
    void check(ServerRequest request) {
        String token = request.header("authorization")
                .filter(text -> text.startsWith(BEARER_PREFIX))
                .map(text -> text.substring(BEARER_PREFIX.length()))
                .orElse("");
        byte[] received =
                Hashing.sha256().hashString(token, StandardCharsets.UTF_8).asBytes();
        if (!MessageDigest.isEqual(received, hash)) {
            throw RequestException.of(ErrorKind.UNAUTHENTICATED, "the operators' token is missing or invalid");
        }
    }
}
