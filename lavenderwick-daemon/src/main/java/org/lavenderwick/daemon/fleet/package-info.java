/** The control thread of a daemon: reads the fleet state from the store and fails over unreachable primaries. */
package org.lavenderwick.daemon.fleet;
