package org.lavenderwick.core.account;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Name of a client account. Endpoints are told it; unlike a key it is not secret.
 *
 * @param value the name as configured by operators; one word, never blank
 */
public record AccountName(String value) implements Comparable<AccountName> {

    /** Checks that the name is one word, because it is a field of lines that are split at blanks. */
    public AccountName {
        checkArgument(!value.isEmpty(), "name is empty");
        checkArgument(value.chars().noneMatch(Character::isWhitespace), "name contains white space");
    }

    /** Returns the name with the given text. */
    public static AccountName of(String value) {
        return new AccountName(value);
    }

    @Override
    public int compareTo(AccountName other) {
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
        return other instanceof AccountName that && that.value.equals(value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }
}
