/** Daemons and stand-ins in one process over real sockets, for the demo, the bench and the scenarios. */
package org.lavenderwick.cli.cluster;
