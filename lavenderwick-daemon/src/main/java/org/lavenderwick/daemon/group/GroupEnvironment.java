package org.lavenderwick.daemon.group;

import java.time.Duration;
import java.time.InstantSource;
import java.util.random.RandomGenerator;

import org.lavenderwick.adapters.endpoint.EndpointPort;

/**
 * The settings and dependencies that the executors of all groups share.
 *
 * @param endpointPort opens connections to endpoints
 * @param callTimeout timeout of endpoint calls that must not be retried
 * @param connectTimeout timeout for opening a connection
 * @param shareIncreaseDelay delay after which an increased connection share may be used; longer than a new seat table
 *     takes to reach all owners
 * @param records the group records on the platform
 * @param policies the policies for admission, routing, spending and pool sizing
 * @param wallClock the wall clock
 * @param random thread-safe source of randomness for jitter and routing
 * @param transactionListener is notified when transactions open and end
 * @param operationIdPrefix prefix of the operation ids in group records that this process writes
 */
public record GroupEnvironment(
        EndpointPort endpointPort,
        Duration callTimeout,
        Duration connectTimeout,
        Duration shareIncreaseDelay,
        GroupRecords records,
        Policies policies,
        InstantSource wallClock,
        RandomGenerator random,
        TransactionListener transactionListener,
        String operationIdPrefix) {}
