package org.lavenderwick.daemon.session;

import java.util.List;
import java.util.Optional;

import com.google.common.base.Splitter;
import com.google.common.primitives.Longs;
import org.lavenderwick.core.catalog.Catalog;
import org.lavenderwick.core.model.GroupName;

/**
 * The lines with which a daemon opens a relayed session at an owner, before it forwards the caller's lines. The first
 * line says by which configuration the session is relayed. An owner with an older configuration that routes the
 * database otherwise, or not at all, declines the session instead of answering for it.
 */
final class RelayProtocol {

    /** The response of an owner whose configuration is too old for the session. Nothing has run. */
    static final String OUTDATED = "OUTDATED";

    private static final String PREFIX = "RELAY ";

    private static final int WORDS = 3;

    /**
     * The configuration by which a session is relayed.
     *
     * @param version the version of the configuration of the relaying daemon
     * @param group the group to which that configuration routes the database
     */
    record Origin(long version, GroupName group) {

        /** Returns whether a daemon with the given configuration must decline a session on a database. */
        boolean isNewerThan(Optional<Catalog> catalog, Optional<String> database) {
            boolean older = catalog.isEmpty() || catalog.get().version() < version;
            return older
                    && database.flatMap(name -> catalog.flatMap(known -> known.route(name)))
                            .filter(route -> route.group().equals(group))
                            .isEmpty();
        }
    }

    private RelayProtocol() {}

    /** Returns the line that opens a relayed session. */
    static String format(Origin origin) {
        return PREFIX + origin.version() + " " + origin.group().value();
    }

    /** Returns the origin that a line carries; empty if the line does not open a relayed session. */
    static Optional<Origin> parse(String line) {
        List<String> words = Splitter.on(' ').limit(WORDS).splitToList(line);
        if (!line.startsWith(PREFIX) || words.size() != WORDS || words.get(2).isBlank()) {
            return Optional.empty();
        }
        return Optional.ofNullable(Longs.tryParse(words.get(1)))
                .map(version -> new Origin(version, GroupName.of(words.get(2))));
    }
}
