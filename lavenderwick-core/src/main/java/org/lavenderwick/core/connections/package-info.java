/** Connections to endpoints: the share of each owner and the state machine of the connection pools. */
package org.lavenderwick.core.connections;
