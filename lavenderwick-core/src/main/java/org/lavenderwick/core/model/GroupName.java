package org.lavenderwick.core.model;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Name of a database group, which consists of the primary and the replicas of one database.
 *
 * @param value the name as configured by operators; never blank
 */
public record GroupName(String value) implements Comparable<GroupName> {

    /** Checks that the name is not blank. */
    public GroupName {
        checkArgument(!value.isBlank(), "name is blank");
    }

    /** Returns the name with the given text. */
    public static GroupName of(String value) {
        return new GroupName(value);
    }

    @Override
    public int compareTo(GroupName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }

    // Written out because the generated methods are linked at each start and are slow under the lowest compiler tier;
    // values of this type are keys of maps.
    @Override
    public boolean equals(Object other) {
        return other instanceof GroupName that && that.value.equals(value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }
}
