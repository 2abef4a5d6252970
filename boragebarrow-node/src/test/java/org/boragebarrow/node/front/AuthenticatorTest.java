package org.boragebarrow.node.front;

import java.util.Optional;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import net.jqwik.api.Example;
import org.boragebarrow.model.Configuration;
import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.model.Plan;
import org.boragebarrow.model.PlanId;

import static com.google.common.truth.Truth.assertThat;

class AuthenticatorTest {
    private static final OrganisationId ORGANISATION = OrganisationId.of("workshop");

    private final Authenticator authenticator =
            authenticatorOf(Authenticator.hashOf("first"), Authenticator.hashOf("second"));

    private static Authenticator authenticatorOf(String... hashes) {
        Plan plan = new Plan(ORGANISATION, PlanId.of("plan"), ImmutableSet.copyOf(hashes));
        return Authenticator.of(
                new Configuration(1, ImmutableMap.of(ORGANISATION, plan), ImmutableMap.of(), ImmutableMap.of()));
    }

    @Example
    void eachKeyOfAPlanIsAuthenticated() {
        assertThat(authenticator.authenticate(Optional.of("Bearer first"))).hasValue(ORGANISATION);
        assertThat(authenticator.authenticate(Optional.of("Bearer second"))).hasValue(ORGANISATION);
    }

    @Example
    void aMissingKeyIsNotAuthenticated() {
        assertThat(authenticator.authenticate(Optional.empty())).isEmpty();
    }

    @Example
    void anUnknownKeyIsNotAuthenticated() {
        assertThat(authenticator.authenticate(Optional.of("Bearer third"))).isEmpty();
        assertThat(authenticator.authenticate(Optional.of("Bearer first "))).isEmpty();
        assertThat(authenticator.authenticate(Optional.of("Bearer "))).isEmpty();
    }

    @Example
    void anotherSchemeIsNotAuthenticated() {
        assertThat(authenticator.authenticate(Optional.of("Basic first"))).isEmpty();
    }

    @Example
    void aHashIsNotAcceptedAsAKey() {
        String hash = Authenticator.hashOf("first");
        assertThat(authenticator.authenticate(Optional.of("Bearer " + hash))).isEmpty();
    }

    @Example
    void aHashThatMatchesOnlyInItsPrefixIsNotAccepted() {
        String hashPrefix = Authenticator.hashOf("first").substring(0, 10);
        Authenticator truncated = authenticatorOf(hashPrefix, hashPrefix + "0".repeat(54), "", "short");
        assertThat(truncated.authenticate(Optional.of("Bearer first"))).isEmpty();
    }
}
