package org.lavenderwick.core.audit;

import java.time.Instant;

/**
 * An entry of the audit log, which records one change of the configuration or of a primary.
 *
 * @param who the operator or daemon that made the change
 * @param when the time of the change
 * @param what the kind and the object of the change, for example {@code promotion orders}
 * @param from the state before the change
 * @param to the state after the change
 */
public record AuditEntry(String who, Instant when, String what, String from, String to) {}
