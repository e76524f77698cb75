package org.lavenderwick.daemon.group;

import java.time.Duration;
import java.util.Optional;

import org.lavenderwick.adapters.endpoint.TransactionStep;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.core.model.RankName;
import org.lavenderwick.core.model.ServiceName;

/**
 * A request for an owner of a database group.
 *
 * @param requestId id of the request, the same for each attempt
 * @param service the service
 * @param group the database group
 * @param rank rank of the work; empty for steps of an open transaction
 * @param step place of the work in a transaction
 * @param write whether the statements may change data
 * @param statements JSON array of statements
 * @param deadline monotonic time of this daemon after which nobody waits for the answer
 * @param maxStaleness age of data that a read accepts; empty for any age that the session allows, zero for current data
 * @param idempotencyKey key under which a repeat runs only once
 * @param minimumPoint point that the data must have reached
 * @param transactionId id of the open transaction
 */
public record WorkRequest(
        String requestId,
        ServiceName service,
        GroupName group,
        Optional<RankName> rank,
        TransactionStep step,
        boolean write,
        byte[] statements,
        Duration deadline,
        Optional<Duration> maxStaleness,
        Optional<String> idempotencyKey,
        Optional<LogPoint> minimumPoint,
        Optional<String> transactionId) {

    /** Returns whether the work may be sent again after an attempt without an answer. */
    public boolean isRetryable() {
        return step == TransactionStep.SINGLE && (!write || idempotencyKey.isPresent());
    }

    /** Returns whether the work is a read that must see all acknowledged writes. */
    public boolean isLinearizableRead() {
        return step == TransactionStep.SINGLE
                && !write
                && maxStaleness.map(Duration::isZero).orElse(minimumPoint.isEmpty());
    }
}
