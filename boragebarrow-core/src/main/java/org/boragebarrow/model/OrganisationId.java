package org.boragebarrow.model;

/**
 * Identifies an organisation, the customer whose plan requests are charged to.
 *
 * <p>Immutable. Ordered lexicographically. At most {@value Ids#MAX_LENGTH} printable ASCII characters without spaces.
 */
public record OrganisationId(String value) implements Comparable<OrganisationId> {
    public OrganisationId {
        Ids.checkId("OrganisationId", value);
    }

    /** Returns the id with the given text. */
    public static OrganisationId of(String value) {
        return new OrganisationId(value);
    }

    @Override
    public int compareTo(OrganisationId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
