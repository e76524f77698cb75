package org.lavenderwick.core.model;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Name of a service: the ranks and database groups that operators offer to callers under one name.
 *
 * @param value the name as configured by operators; never blank
 */
public record ServiceName(String value) implements Comparable<ServiceName> {

    /** Checks that the name is not blank. */
    public ServiceName {
        checkArgument(!value.isBlank(), "name is blank");
    }

    /** Returns the name with the given text. */
    public static ServiceName of(String value) {
        return new ServiceName(value);
    }

    @Override
    public int compareTo(ServiceName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
