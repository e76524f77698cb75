package org.lavenderwick.core.model;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A part of the fleet that a network partition can isolate as a whole.
 *
 * @param value name of the failure domain as configured by operators; never blank
 */
public record FailureDomain(String value) implements Comparable<FailureDomain> {

    /** Checks that the name is not blank. */
    public FailureDomain {
        checkArgument(!value.isBlank(), "name is blank");
    }

    /** Returns the failure domain with the given name. */
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

    // Written out for the reason given at GroupName.
    @Override
    public boolean equals(Object other) {
        return other instanceof FailureDomain that && that.value.equals(value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }
}
