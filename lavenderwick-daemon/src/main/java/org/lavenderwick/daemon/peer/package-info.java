/** Messages between daemons over Thrift: relayed requests and the exchange of documents. */
package org.lavenderwick.daemon.peer;
