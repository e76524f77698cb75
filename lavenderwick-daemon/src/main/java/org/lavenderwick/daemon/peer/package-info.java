/** The RPC client and server that daemons use to relay requests and to exchange shared documents over Thrift. */
package org.lavenderwick.daemon.peer;
