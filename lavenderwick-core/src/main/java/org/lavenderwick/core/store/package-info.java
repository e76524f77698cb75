/**
 * Port to the platform store, which keeps the endpoint directory, the configuration and the fleet entries independently
 * of the hosts.
 */
package org.lavenderwick.core.store;
