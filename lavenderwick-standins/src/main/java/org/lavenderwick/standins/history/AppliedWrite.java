package org.lavenderwick.standins.history;

import java.time.Duration;

import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.model.LogPoint;

/**
 * A write that committed at the endpoint which was, or believed to be, the primary. Replicas do not report it again.
 *
 * @param group the database group
 * @param endpoint the endpoint that ran it
 * @param point its place in the log of that endpoint
 * @param key the key
 * @param value the value
 * @param at time of the commit
 */
public record AppliedWrite(
        GroupName group, EndpointName endpoint, LogPoint point, String key, String value, Duration at) {}
