/** Generated messages between daemons; the source is {@code src/main/thrift/peer.thrift}. */
package org.lavenderwick.protocol;
