package org.lavenderwick.adapters.sheet;

import java.util.List;
import java.util.Map;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.lavenderwick.core.configuration.Configuration;
import org.lavenderwick.core.configuration.GroupSettings;
import org.lavenderwick.core.configuration.PlannedStop;
import org.lavenderwick.core.configuration.ServiceSettings;
import org.lavenderwick.core.configuration.SessionKey;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.model.ServiceName;

/**
 * The content of a sheet without faults.
 *
 * @param services the services by name
 * @param groups the database groups by name
 * @param plannedStops the planned stops
 */
public record Sheet(
        Map<ServiceName, ServiceSettings> services,
        Map<GroupName, GroupSettings> groups,
        List<PlannedStop> plannedStops) {

    /** Copies the collections. */
    public Sheet {
        services = ImmutableMap.copyOf(services);
        groups = ImmutableMap.copyOf(groups);
        plannedStops = ImmutableList.copyOf(plannedStops);
    }

    /** Returns the configuration of this sheet with a version number and session keys, which no sheet holds. */
    public Configuration toConfiguration(long version, List<SessionKey> sessionKeys) {
        return new Configuration(version, services, groups, plannedStops, sessionKeys);
    }
}
