package org.lavenderwick.core.model;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Unique name of a daemon in the fleet.
 *
 * @param value the name as configured by operators; never blank
 */
public record DaemonName(String value) implements Comparable<DaemonName> {

    /** Checks that the name is not blank. */
    public DaemonName {
        checkArgument(!value.isBlank(), "name is blank");
    }

    /** Returns the name with the given text. */
    public static DaemonName of(String value) {
        return new DaemonName(value);
    }

    @Override
    public int compareTo(DaemonName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }

    // Written out for the reason given at GroupName.
    @Override
    public boolean equals(Object other) {
        return other instanceof DaemonName that && that.value.equals(value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }
}
