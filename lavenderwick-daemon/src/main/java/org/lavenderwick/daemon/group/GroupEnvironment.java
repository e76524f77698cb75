package org.lavenderwick.daemon.group;

import java.time.Duration;
import java.time.InstantSource;
import java.util.random.RandomGenerator;

import org.lavenderwick.adapters.endpoint.EndpointPort;

/**
 * What the executors of all groups share.
 *
 * @param endpoints opens connections to endpoints
 * @param callTimeout how long a call to an endpoint that cannot be repeated may take
 * @param connectTimeout how long it may take to open a connection
 * @param shareRaiseWait how long a raised connection share stays unused; longer than a seat table takes to all owners
 * @param records the group records on the platform
 * @param policies the policies
 * @param wallClock wall time
 * @param random source of jitter and of random choices, thread-safe
 * @param transactions learns when transactions open and end
 * @param operationPrefix marks records that this process writes
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
