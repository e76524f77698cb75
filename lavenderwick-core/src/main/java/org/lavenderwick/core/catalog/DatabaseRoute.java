package org.lavenderwick.core.catalog;

import java.time.Duration;

import org.lavenderwick.core.model.GroupName;

/**
 * The routing and service parameters of one database.
 *
 * @param database the name under which callers connect
 * @param group the database group that serves it
 * @param consistency the consistency of reads
 * @param maxStaleness maximum staleness of reads; zero if only the primary may serve them
 * @param statementTimeout maximum time from the arrival of a statement to its response
 * @param latencyTarget target for the time from the arrival of an operation to its response
 * @param priority priority of the work; 0 is the most urgent
 * @param isPublic whether callers need no key, although the configuration names client accounts
 */
public record DatabaseRoute(
        String database,
        GroupName group,
        ReadConsistency consistency,
        Duration maxStaleness,
        Duration statementTimeout,
        Duration latencyTarget,
        int priority,
        boolean isPublic) {}
