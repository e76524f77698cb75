/** The daemon program {@code lavenderwickd}: entry point, startup, shutdown, threads, status and metrics. */
package org.lavenderwick.daemon;
