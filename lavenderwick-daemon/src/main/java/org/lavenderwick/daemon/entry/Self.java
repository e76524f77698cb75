package org.lavenderwick.daemon.entry;

import org.lavenderwick.core.model.DaemonName;

/**
 * This process.
 *
 * @param daemon name of the daemon
 * @param incarnation number that tells successive processes of the daemon apart
 */
public record Self(DaemonName daemon, long incarnation) {}
