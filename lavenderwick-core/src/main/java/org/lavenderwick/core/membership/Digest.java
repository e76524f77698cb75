package org.lavenderwick.core.membership;

/**
 * The versions of the configuration and of the seat table that a daemon has installed. Daemons exchange digests to find
 * out which of them has newer documents.
 *
 * @param configurationVersion version of the installed configuration, or 0 if there is none
 * @param seatTableVersion version of the installed seat table, or 0 if there is none
 */
public record Digest(long configurationVersion, long seatTableVersion) {

    /** The digest of a daemon that has installed no document. */
    public static final Digest NONE = new Digest(0, 0);

    /** Returns a digest with the given versions. */
    public static Digest of(long configurationVersion, long seatTableVersion) {
        return new Digest(configurationVersion, seatTableVersion);
    }

    /** Returns whether the other digest has a newer version of at least one document. */
    public boolean isBehind(Digest other) {
        return configurationVersion < other.configurationVersion || seatTableVersion < other.seatTableVersion;
    }

    /** Returns a digest with the newer version of each document. */
    public Digest merge(Digest other) {
        return new Digest(
                Math.max(configurationVersion, other.configurationVersion),
                Math.max(seatTableVersion, other.seatTableVersion));
    }
}
