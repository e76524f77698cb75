package org.lavenderwick.core.promotion;

import java.time.Instant;

import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.core.model.Term;

/**
 * The state of an endpoint, as contained in one of its responses.
 *
 * @param endpoint the endpoint
 * @param primary whether the endpoint acts as primary of {@code term}
 * @param term newest term that the endpoint takes part in, as primary or as replica
 * @param promisedTerm newest term for which the endpoint accepted a seal or a promotion; at least {@code term}
 * @param point end of the log; for a replica, end of the applied part
 * @param pointTime timestamp by the primary of the entry at {@code point}, or of a later heartbeat at the same position
 * @param openTransactions number of open transactions, including single statements in progress
 */
public record EndpointReport(
        EndpointName endpoint,
        boolean primary,
        Term term,
        Term promisedTerm,
        LogPoint point,
        Instant pointTime,
        int openTransactions) {}
