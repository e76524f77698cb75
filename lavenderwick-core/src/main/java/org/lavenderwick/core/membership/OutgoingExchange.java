package org.lavenderwick.core.membership;

/**
 * One exchange that a daemon starts.
 *
 * @param address IP address and port of the peer
 * @param news the documents that the request carries
 */
public record OutgoingExchange(String address, DocumentSelection documents) {}
