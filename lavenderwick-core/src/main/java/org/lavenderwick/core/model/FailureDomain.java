package org.lavenderwick.core.model;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A part of the fleet that a network partition can cut off as a whole.
 *
 * @param value the name as operators write it; never blank
 */
public record FailureDomain(String value) implements Comparable<FailureDomain> {

    /** Checks that the name is not blank. */
    public FailureDomain {
        checkArgument(!value.isBlank(), "name is blank");
    }

    /** Returns the name with the given text. */
    public static FailureDomain of(String value) {
        return new FailureDomain(value);
    }

    @Override
    public int compareTo(FailureDomain other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
