package org.lavenderwick.adapters.platform;

import java.time.Duration;

/**
 * A lease that the platform granted.
 *
 * @param name what is leased
 * @param holder who holds it
 * @param fencingToken number that grows with each grant of the name
 * @param ttl time after which the lease lapses unless renewed
 */
public record Lease(String name, String holder, long fencingToken, Duration ttl) {}
