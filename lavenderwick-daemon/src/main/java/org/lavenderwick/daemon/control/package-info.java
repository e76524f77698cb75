/**
 * Control plane of a daemon: seat membership, exchange of the configuration and the seat table with peers, owned
 * groups, promotions and paid levels. Its state is confined to one thread, the control thread.
 */
package org.lavenderwick.daemon.control;
