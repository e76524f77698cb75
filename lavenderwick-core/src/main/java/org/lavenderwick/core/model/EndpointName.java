package org.lavenderwick.core.model;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Name of an endpoint of a database group.
 *
 * @param value the name as configured by operators; never blank
 */
public record EndpointName(String value) implements Comparable<EndpointName> {

    /** Checks that the name is not blank. */
    public EndpointName {
        checkArgument(!value.isBlank(), "name is blank");
    }

    /** Returns the name with the given text. */
    public static EndpointName of(String value) {
        return new EndpointName(value);
    }

    @Override
    public int compareTo(EndpointName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }

    // Written out for the reason given at GroupName.
    @Override
    public boolean equals(Object other) {
        return other instanceof EndpointName that && that.value.equals(value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }
}
