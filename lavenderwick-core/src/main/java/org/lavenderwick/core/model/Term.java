package org.lavenderwick.core.model;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A period in which one endpoint is the primary of its database group. Terms of a group only grow.
 *
 * @param number the number of the term, from 1; 0 stands for no term
 */
public record Term(long number) implements Comparable<Term> {

    /** The term before the first one. */
    public static final Term NONE = new Term(0);

    /** Checks that the number is not negative. */
    public Term {
        checkArgument(number >= 0, "term is negative: %s", number);
    }

    /** Returns the term with the given number. */
    public static Term of(long number) {
        return new Term(number);
    }

    /** Returns the term that follows this one. */
    public Term next() {
        return new Term(number + 1);
    }

    /** Returns whether this term is later than the other. */
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
}
