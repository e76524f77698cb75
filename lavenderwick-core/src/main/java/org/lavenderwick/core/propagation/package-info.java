/**
 * Propagation of store changes through the fleet: which daemons watch the store, from whom the others read, and when a
 * daemon changes its source. Decisions only; connections and threads belong to the daemon.
 */
package org.lavenderwick.core.propagation;
