package org.lavenderwick.core.configuration;

import java.util.List;
import java.util.Map;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.model.ServiceName;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * One version of everything that operators configure.
 *
 * @param version number of the version, from 1; a daemon installs only versions above the one in force
 * @param services the services by name
 * @param groups the database groups by name; each names a service of the configuration
 * @param plannedStops planned stops of endpoints
 * @param sessionKeys keys of session tokens, the sealing one first
 */
public record Configuration(
        long version,
        Map<ServiceName, ServiceSettings> services,
        Map<GroupName, GroupSettings> groups,
        List<PlannedStop> plannedStops,
        List<SessionKey> sessionKeys) {

    /** Copies the collections and checks that each group names a known service. */
    public Configuration {
        checkArgument(version >= 1, "version is below 1");
        services = ImmutableMap.copyOf(services);
        groups = ImmutableMap.copyOf(groups);
        plannedStops = ImmutableList.copyOf(plannedStops);
        sessionKeys = ImmutableList.copyOf(sessionKeys);
        for (GroupSettings group : groups.values()) {
            checkArgument(services.containsKey(group.service()), "group %s names an unknown service", group.name());
        }
    }
}
