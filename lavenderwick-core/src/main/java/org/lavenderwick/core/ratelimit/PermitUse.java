package org.lavenderwick.core.ratelimit;

/**
 * The use of one account's permits at one asker since its start.
 *
 * @param used permits used for an operation
 * @param expired permits whose lifetime ended unused
 * @param rejected operations rejected for lack of a permit
 */
public record PermitUse(long used, long expired, long rejected) {}
