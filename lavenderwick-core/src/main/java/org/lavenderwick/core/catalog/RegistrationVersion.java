package org.lavenderwick.core.catalog;

/**
 * The version of the registration of an endpoint, as the endpoint counts it itself. It shows which of two registrations
 * is the older one even if the store has lost the newer one meanwhile.
 *
 * @param startedAt when the process of the endpoint started, in Unix milliseconds; negative if unknown
 * @param sequence number that grows with each registration of the process
 */
public record RegistrationVersion(long startedAt, long sequence) {

    /** The version of a registration that does not state it. */
    public static final RegistrationVersion UNKNOWN = new RegistrationVersion(-1, -1);

    /** Returns whether this version is known to be older than another one of the same endpoint. */
    public boolean isOlderThan(RegistrationVersion other) {
        if (startedAt < 0 || other.startedAt < 0) {
            return false;
        }
        return startedAt != other.startedAt ? startedAt < other.startedAt : sequence < other.sequence;
    }
}
