package org.lavenderwick.core.catalog;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;

import com.google.common.collect.ImmutableMap;
import org.lavenderwick.core.model.GroupName;

/**
 * One version of the operators' configuration, as far as sessions need it. Immutable.
 *
 * @param version the version; a later one is higher
 * @param databases the routes by database name
 * @param maxConnections connections that an endpoint of each group accepts, from all daemons together
 * @param transactionIdleTimeout idle time after which an open transaction may be rolled back
 */
public record Catalog(
        long version,
        Map<String, DatabaseRoute> databases,
        Map<GroupName, Integer> maxConnections,
        Duration transactionIdleTimeout) {

    /** Copies the maps. */
    public Catalog {
        databases = ImmutableMap.copyOf(databases);
        maxConnections = ImmutableMap.copyOf(maxConnections);
    }

    /** Returns the route of a database. */
    public Optional<DatabaseRoute> route(String database) {
        return Optional.ofNullable(databases.get(database));
    }
}
