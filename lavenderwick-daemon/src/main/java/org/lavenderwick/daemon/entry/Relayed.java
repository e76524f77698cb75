package org.lavenderwick.daemon.entry;

import org.lavenderwick.core.membership.Seat;
import org.lavenderwick.daemon.group.WorkResponse;

/**
 * An answer and the owner that gave it.
 *
 * @param answer the answer
 * @param owner the owner
 */
public record Relayed(WorkResponse answer, Seat owner) {}
