/**
 * The session interface of the daemon: callers' sessions, the statement queues of each database group and the
 * connections to endpoints. All of it runs on one event loop thread, the traffic thread.
 */
package org.lavenderwick.daemon.session;
