/** Decisions about the connections to one endpoint, each of which belongs to one client account or to the daemon. */
package org.lavenderwick.core.connections.account;
