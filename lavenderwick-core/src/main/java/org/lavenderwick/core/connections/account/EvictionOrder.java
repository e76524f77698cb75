package org.lavenderwick.core.connections.account;

import java.time.Duration;

/** The value of keeping an idle connection. The connection with the lowest value is evicted first. */
@FunctionalInterface
interface EvictionOrder<C extends AccountConnection> {

    /**
     * Returns the value of keeping a connection.
     *
     * @param ofAccount number of connections of its account to the same endpoint
     */
    double keepValue(C connection, int ofAccount, Duration now);
}
