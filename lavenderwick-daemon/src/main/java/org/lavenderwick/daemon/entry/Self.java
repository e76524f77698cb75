package org.lavenderwick.daemon.entry;

import org.lavenderwick.core.model.DaemonName;

/**
 * The identity of this daemon process.
 *
 * @param daemon name of the daemon
 * @param incarnation number that distinguishes successive processes of the same daemon
 */
public record Self(DaemonName daemon, long incarnation) {}
