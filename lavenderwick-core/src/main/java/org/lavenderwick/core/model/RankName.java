package org.lavenderwick.core.model;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Name of a rank, which is a priority class for the requests of a service.
 *
 * @param value the name as configured by operators; never blank
 */
public record RankName(String value) implements Comparable<RankName> {

    /** Checks that the name is not blank. */
    public RankName {
        checkArgument(!value.isBlank(), "name is blank");
    }

    /** Returns the name with the given text. */
    public static RankName of(String value) {
        return new RankName(value);
    }

    @Override
    public int compareTo(RankName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
