package org.lavenderwick.core.promotion;

import java.time.Instant;

import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.core.model.Term;

/**
 * State of an endpoint as one of its answers gave it.
 *
 * @param endpoint the endpoint
 * @param primary whether it acts as primary of {@code term}
 * @param term newest term it serves, as primary or as replica
 * @param promisedTerm newest term for which it accepted a seal or a promotion; at least {@code term}
 * @param point end of its log; for a replica, of the part it has applied
 * @param pointTime time at which the primary stamped that point or a later heartbeat at the same position
 * @param openTransactions number of transactions open on it, single statements under way included
 */
public record EndpointReport(
        EndpointName endpoint,
        boolean primary,
        Term term,
        Term promisedTerm,
        LogPoint point,
        Instant pointTime,
        int openTransactions) {}
