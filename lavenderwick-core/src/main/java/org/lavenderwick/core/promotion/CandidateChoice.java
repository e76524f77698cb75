package org.lavenderwick.core.promotion;

import org.lavenderwick.core.model.EndpointName;

/**
 * The endpoint chosen as primary of the next term.
 *
 * @param candidate the endpoint to promote
 * @param startPosition log position of the last entry before the term
 * @param planned whether the log up to {@code startPosition} contains every write acknowledged in the closed term
 */
record CandidateChoice(EndpointName candidate, long startPosition, boolean planned) {}
