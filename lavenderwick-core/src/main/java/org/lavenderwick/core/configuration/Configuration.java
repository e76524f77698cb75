package org.lavenderwick.core.configuration;

import java.util.List;
import java.util.Map;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.model.ServiceName;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * One version of the configuration that operators maintain for the fleet.
 *
 * @param version the version number, from 1; a daemon installs only versions newer than the installed one
 * @param services the services, by name
 * @param groups the database groups, by name; each belongs to a service in {@code services}
 * @param plannedStops the planned stops of endpoints
 * @param sessionKeys the keys for session tokens; the first one seals new tokens
 */
public record Configuration(
        long version,
        Map<ServiceName, ServiceSettings> services,
        Map<GroupName, GroupSettings> groups,
        List<PlannedStop> plannedStops,
        List<SessionKey> sessionKeys) {

    /** Copies the collections, and checks that each group belongs to a known service. */
    public Configuration {
        checkArgument(version >= 1, "configuration version is below 1: %s", version);
        services = ImmutableMap.copyOf(services);
        groups = ImmutableMap.copyOf(groups);
        plannedStops = ImmutableList.copyOf(plannedStops);
        sessionKeys = ImmutableList.copyOf(sessionKeys);
        for (GroupSettings group : groups.values()) {
            checkArgument(
                    services.containsKey(group.service()), "group %s belongs to an unknown service", group.name());
        }
    }
}
