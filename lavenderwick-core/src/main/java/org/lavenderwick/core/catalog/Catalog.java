package org.lavenderwick.core.catalog;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;

import com.google.common.collect.ImmutableMap;
import org.lavenderwick.core.account.AccountDirectory;
import org.lavenderwick.core.model.GroupName;

/**
 * The part of the operators' configuration that sessions use, in one version. Immutable.
 *
 * @param version the version; later versions have higher numbers
 * @param databases the route of each database, by database name
 * @param maxConnections maximum number of connections to one endpoint, from all daemons together, by group
 * @param syncReplicas how many replicas must receive a commit before an endpoint acknowledges it, by group; groups
 *     that are absent acknowledge commits without waiting for replicas
 * @param transactionIdleTimeout idle time after which an open transaction may be rolled back
 * @param accounts the client accounts; empty if the configuration names none, and callers then need no key
 */
public record Catalog(
        long version,
        Map<String, DatabaseRoute> databases,
        Map<GroupName, Integer> maxConnections,
        Map<GroupName, Integer> syncReplicas,
        Duration transactionIdleTimeout,
        AccountDirectory accounts) {

    /** Copies the maps. */
    public Catalog {
        databases = ImmutableMap.copyOf(databases);
        maxConnections = ImmutableMap.copyOf(maxConnections);
        syncReplicas = ImmutableMap.copyOf(syncReplicas);
    }

    /** Creates a configuration whose groups acknowledge commits without waiting for replicas. */
    public Catalog(
            long version,
            Map<String, DatabaseRoute> databases,
            Map<GroupName, Integer> maxConnections,
            Duration transactionIdleTimeout,
            AccountDirectory accounts) {
        this(version, databases, maxConnections, Map.of(), transactionIdleTimeout, accounts);
    }

    /** Returns the route of a database; empty if the database is unknown. */
    public Optional<DatabaseRoute> route(String database) {
        return Optional.ofNullable(databases.get(database));
    }
}
