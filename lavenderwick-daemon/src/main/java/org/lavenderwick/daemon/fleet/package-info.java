/** Control state of a daemon that serves sessions: what it knows of the fleet, and the failover of primaries. */
package org.lavenderwick.daemon.fleet;
