package org.lavenderwick.daemon.group;

import java.time.Duration;
import java.util.Optional;

import org.lavenderwick.adapters.endpoint.TransactionStep;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.core.model.RankName;
import org.lavenderwick.core.model.ServiceName;

/**
 * A request to an owner of a database group.
 *
 * @param requestId id of the request, the same for all attempts
 * @param service the service of the client
 * @param group the database group that the statements are for
 * @param rank priority rank of the request; empty for steps of an open transaction
 * @param step role of the request in a transaction
 * @param write whether the statements may change data
 * @param statements JSON array of statements
 * @param deadline time on the monotonic clock of this daemon after which the response is no longer needed
 * @param maxStaleness maximum age of the data that a read accepts; empty for any age that the session allows, zero for
 *     current data
 * @param idempotencyKey key by which an endpoint recognizes a retry of the request and does not run it again
 * @param minimumPoint log point that the endpoint must have reached
 * @param transactionId id of the open transaction that the step belongs to
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

    /** Returns whether the request may be sent again if an attempt got no response. */
    public boolean isRetryable() {
        return step == TransactionStep.SINGLE && (!write || idempotencyKey.isPresent());
    }

    /** Returns whether the request is a read that must observe all acknowledged writes. */
    public boolean isLinearizableRead() {
        return step == TransactionStep.SINGLE
                && !write
                && maxStaleness.map(Duration::isZero).orElse(minimumPoint.isEmpty());
    }
}
