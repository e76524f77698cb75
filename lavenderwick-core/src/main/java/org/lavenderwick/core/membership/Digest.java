package org.lavenderwick.core.membership;

/**
 * Versions of the shared documents that a daemon has in force.
 *
 * @param configurationVersion version of the configuration, 0 for none
 * @param seatTableVersion version of the seat table, 0 for none
 */
public record Digest(long configurationVersion, long seatTableVersion) {

    /** The digest of a daemon that knows nothing yet. */
    public static final Digest NONE = new Digest(0, 0);

    /** Returns the digest with the given versions. */
    public static Digest of(long configurationVersion, long seatTableVersion) {
        return new Digest(configurationVersion, seatTableVersion);
    }

    /** Returns whether the other digest has a document newer than this one. */
    public boolean isBehind(Digest other) {
        return configurationVersion < other.configurationVersion || seatTableVersion < other.seatTableVersion;
    }

    /** Returns the digest that has the newer version of each document. */
    public Digest merge(Digest other) {
        return new Digest(
                Math.max(configurationVersion, other.configurationVersion),
                Math.max(seatTableVersion, other.seatTableVersion));
    }
}
