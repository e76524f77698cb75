package org.lavenderwick.daemon.entry;

import org.lavenderwick.core.membership.Seat;
import org.lavenderwick.daemon.group.WorkResponse;

/**
 * A successful response and the owner that sent it.
 *
 * @param response response of the owner
 * @param owner seat of the daemon that ran the request
 */
public record RelayedResponse(WorkResponse response, Seat owner) {}
