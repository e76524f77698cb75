package org.lavenderwick.core.model;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A period during which one endpoint is the primary of its database group. Each new term of a group has a higher number
 * than the terms before it.
 *
 * @param number number of the term, starting at 1; 0 for {@link #NONE}
 */
public record Term(long number) implements Comparable<Term> {

    /** Placeholder for no term; precedes every other term. */
    public static final Term NONE = new Term(0);

    /** Checks that the number is not negative. */
    public Term {
        checkArgument(number >= 0, "term is negative: %s", number);
    }

    /** Returns the term with the given number. */
    public static Term of(long number) {
        return new Term(number);
    }

    /** Returns the next term. */
    public Term next() {
        return new Term(number + 1);
    }

    /** Returns whether this term is later than {@code other}. */
    public boolean isAfter(Term other) {
        return number > other.number;
    }

    @Override
    public int compareTo(Term other) {
        return Long.compare(number, other.number);
    }

    @Override
    public String toString() {
        return Long.toString(number);
    }

    // Written out for the reason given at GroupName.
    @Override
    public boolean equals(Object other) {
        return other instanceof Term that && that.number == number;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(number);
    }
}
