package org.lavenderwick.core.catalog;

import java.time.Duration;

import org.lavenderwick.core.model.GroupName;

/**
 * How statements on one database are served.
 *
 * @param database the name that callers connect to
 * @param group the database group that serves it
 * @param consistency what reads must have seen
 * @param maxStaleness accepted age of reads; zero where only the primary may answer
 * @param statementTimeout longest time for one statement, from its arrival to its answer
 * @param latencyTarget time within which a whole operation should be answered
 * @param priority rank of the work; 0 is the most urgent
 */
public record DatabaseRoute(
        String database,
        GroupName group,
        ReadConsistency consistency,
        Duration maxStaleness,
        Duration statementTimeout,
        Duration latencyTarget,
        int priority) {}
