package org.lavenderwick.adapters.endpoint;

import java.time.Duration;
import java.util.Optional;

import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.core.model.Term;

/**
 * Work for one endpoint.
 *
 * @param requestId id that the answer must repeat
 * @param group the database group
 * @param write whether the statements may change data; only the primary of the expected term runs them
 * @param step place within a transaction
 * @param statements JSON array of statements, passed on unread
 * @param expectedTerm for work at the primary, the term it must be primary of
 * @param minimumPoint point that the endpoint's log must have reached, for a session
 * @param maxStaleness age that the endpoint's data must not exceed; empty for any age
 * @param idempotencyKey key under which the endpoint records the result in the same transaction
 */
public record EndpointRequest(
        String requestId,
        GroupName group,
        boolean write,
        TransactionStep step,
        byte[] statements,
        Optional<Term> expectedTerm,
        Optional<LogPoint> minimumPoint,
        Optional<Duration> maxStaleness,
        Optional<String> idempotencyKey) {}
