package org.lavenderwick.adapters.platform;

/**
 * A value read from the platform.
 *
 * @param value the value, at most {@link PlatformPort#MAX_VALUE_BYTES} as UTF-8
 * @param revision number that grows with each write of the key; expected by the next compare-and-swap
 */
public record VersionedValue(String value, long revision) {}
