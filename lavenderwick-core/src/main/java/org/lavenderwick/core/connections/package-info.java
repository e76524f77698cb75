/** Connections to endpoints: shares per owner and the state of the pools. */
package org.lavenderwick.core.connections;
