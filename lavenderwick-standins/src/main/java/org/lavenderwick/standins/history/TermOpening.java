package org.lavenderwick.standins.history;

import java.time.Duration;

import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.model.Term;

/**
 * The start of a term at its primary.
 *
 * @param group the database group
 * @param term the term
 * @param startPosition position of the last entry that the new term kept
 * @param planned whether an operator ordered the change of primary
 * @param at time at which the endpoint became primary
 */
public record TermOpening(GroupName group, Term term, long startPosition, boolean planned, Duration at) {}
