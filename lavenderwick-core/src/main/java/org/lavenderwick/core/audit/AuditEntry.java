package org.lavenderwick.core.audit;

import java.time.Instant;

/**
 * One change of a configuration or of a primary.
 *
 * @param who operator or daemon that made the change
 * @param when time of the change
 * @param what kind and object of the change, as in {@code promotion orders}
 * @param from state before the change
 * @param to state after the change
 */
public record AuditEntry(String who, Instant when, String what, String from, String to) {}
