/**
 * The session interface: callers' sessions, the queues of work of each database group and the connections to endpoints.
 * All of it runs on one traffic thread.
 */
package org.lavenderwick.daemon.session;
