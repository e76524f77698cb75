package org.lavenderwick.core.promotion;

import org.lavenderwick.core.model.Term;

/**
 * The start of a term in the log of its group.
 *
 * @param term the term
 * @param position log position of the last entry before the term
 */
public record TermStart(Term term, long position) {}
