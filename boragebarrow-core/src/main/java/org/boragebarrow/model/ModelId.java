package org.boragebarrow.model;

/**
 * Identifies a model that engines serve.
 *
 * <p>Immutable. Ordered lexicographically. At most {@value Ids#MAX_LENGTH} printable ASCII characters without spaces.
 */
public record ModelId(String value) implements Comparable<ModelId> {
    public ModelId {
        Ids.checkId("ModelId", value);
    }

    /** Returns the id with the given text. */
    public static ModelId of(String value) {
        return new ModelId(value);
    }

    @Override
    public int compareTo(ModelId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
