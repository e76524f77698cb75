package org.lavenderwick.core.catalog;

import java.util.Optional;

import org.lavenderwick.core.model.GroupName;

/**
 * The configuration by which a daemon relays a session to an owner. An owner with an older configuration that routes
 * the database otherwise, or not at all, declines the session instead of answering for a daemon that knows better.
 *
 * <p>Answers changes in quick succession while the store does not respond to some owners.
 *
 * @param version the version of the configuration of the relaying daemon
 * @param group the group to which that configuration routes the database
 */
public record RouteOrigin(long version, GroupName group) {

    /**
     * Returns whether a daemon must decline a session that is relayed by this configuration.
     *
     * @param catalog the configuration of the owner; empty if it has none
     * @param database the database that the session names; empty if it names none
     */
    public boolean supersedes(Optional<Catalog> catalog, Optional<String> database) {
        boolean older = catalog.isEmpty() || catalog.get().version() < version;
        return older
                && database.flatMap(name -> catalog.flatMap(known -> known.route(name)))
                        .filter(route -> route.group().equals(group))
                        .isEmpty();
    }
}
