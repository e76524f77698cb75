package org.lavenderwick.core.membership;

import java.util.OptionalLong;

/**
 * Which documents a message to a peer carries.
 *
 * @param configurationSince present if the message carries the configuration: the version that the peer has. The
 *     sender takes the changes since that version, or the whole configuration if its history does not reach back
 * @param seatTable whether the message carries the seat table
 */
public record DocumentSelection(OptionalLong configurationSince, boolean seatTable) {

    /** The plan of a message without documents. */
    public static final DocumentSelection NONE = new DocumentSelection(OptionalLong.empty(), false);

    /** Returns what a daemon with the digest {@code own} sends to a peer with the digest {@code peer}. */
    public static DocumentSelection between(Digest own, Digest peer) {
        OptionalLong since = peer.configurationVersion() < own.configurationVersion()
                ? OptionalLong.of(peer.configurationVersion())
                : OptionalLong.empty();
        return new DocumentSelection(since, peer.seatTableVersion() < own.seatTableVersion());
    }

    /** Returns whether the message carries no document. */
    public boolean isEmpty() {
        return configurationSince.isEmpty() && !seatTable;
    }
}
