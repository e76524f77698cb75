package org.lavenderwick.core.model;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Name of a service, the unit in which operators offer work to callers.
 *
 * @param value the name as operators write it; never blank
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
