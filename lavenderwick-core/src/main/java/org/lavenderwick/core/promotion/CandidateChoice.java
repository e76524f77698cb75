package org.lavenderwick.core.promotion;

import org.lavenderwick.core.model.EndpointName;

/**
 * The candidate of the next term.
 *
 * @param candidate the endpoint to promote
 * @param start position of the last entry before the term
 * @param planned whether every write acknowledged in the closed term is at or before the start
 */
record CandidateChoice(EndpointName candidate, long start, boolean planned) {}
