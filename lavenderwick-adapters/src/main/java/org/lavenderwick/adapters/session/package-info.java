/** Ports of the session interface: messages of callers and endpoints, and the calls that a failover makes. */
package org.lavenderwick.adapters.session;
