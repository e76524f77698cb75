package org.lavenderwick.core.membership;

import java.util.OptionalLong;

/**
 * The shared documents (configuration and seat table) that a message to a peer carries.
 *
 * @param configurationSince the configuration version that the peer has; empty if the message carries no configuration.
 *     The message contains the changes since that version, or the full configuration if the sender's history does not
 *     include that version
 * @param seatTable whether the message carries the seat table
 */
public record DocumentSelection(OptionalLong configurationSince, boolean seatTable) {

    /** Selects no documents. */
    public static final DocumentSelection NONE = new DocumentSelection(OptionalLong.empty(), false);

    /** Returns the documents that are newer in the digest {@code own} than in the digest {@code peer}. */
    public static DocumentSelection between(Digest own, Digest peer) {
        OptionalLong since = peer.configurationVersion() < own.configurationVersion()
                ? OptionalLong.of(peer.configurationVersion())
                : OptionalLong.empty();
        return new DocumentSelection(since, peer.seatTableVersion() < own.seatTableVersion());
    }

    /** Returns whether no document is selected. */
    public boolean isEmpty() {
        return configurationSince.isEmpty() && !seatTable;
    }
}
