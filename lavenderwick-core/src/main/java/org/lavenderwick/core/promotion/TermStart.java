package org.lavenderwick.core.promotion;

import org.lavenderwick.core.model.Term;

/**
 * Where a term began in the log of its group.
 *
 * @param term the term
 * @param position position of the last entry before the term
 */
public record TermStart(Term term, long position) {}
