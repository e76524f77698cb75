package org.lavenderwick.core.scheduling;

import java.time.Duration;
import java.util.Optional;

import org.lavenderwick.core.account.AccountName;
import org.lavenderwick.core.model.FailureDomain;

/**
 * An operation that asks for a slot of an endpoint.
 *
 * @param id unique among the operations that wait or run
 * @param rank index of the rank; 0 is the most urgent
 * @param database the database, by which slot time is measured
 * @param account the client account that is charged; empty if the configuration names none
 * @param domain failure domain of the daemon that accepted the caller
 * @param arrivedAt arrival on the monotonic clock
 * @param target latency target
 * @param deadline time on the monotonic clock after which a response is of no use
 * @param primaryOnly whether only the primary may run it; otherwise any endpoint that holds the required log position
 * @param inTransaction whether it belongs to an open transaction, so that a rejection would lose earlier work
 */
public record Operation(
        long id,
        int rank,
        String database,
        Optional<AccountName> account,
        FailureDomain domain,
        Duration arrivedAt,
        Duration target,
        Duration deadline,
        boolean primaryOnly,
        boolean inTransaction) {

    /** Returns the time at which the operation exceeds its target. */
    public Duration dueAt() {
        return arrivedAt.plus(target);
    }

    /** Returns the time until which a response counts more, because a caller may leave at half of its target. */
    Duration halfTargetAt() {
        return arrivedAt.plus(target.dividedBy(2));
    }

    /** Returns the flow that shares slot time with the other flows of the rank. */
    Flow flow() {
        return account.map(name -> new Flow(name.value(), true)).orElseGet(() -> new Flow(domain.value(), false));
    }

    /**
     * The operations of a rank that are charged together.
     *
     * @param name the account, or the failure domain of callers without an account
     * @param isAccount whether the name is that of an account
     */
    record Flow(String name, boolean isAccount) {}
}
