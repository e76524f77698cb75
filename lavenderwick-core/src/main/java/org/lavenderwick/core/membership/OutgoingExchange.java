package org.lavenderwick.core.membership;

/**
 * An exchange of digests and documents that this daemon starts with a peer.
 *
 * @param address the IP address and port of the peer
 * @param documents the documents sent with the request
 */
public record OutgoingExchange(String address, DocumentSelection documents) {}
