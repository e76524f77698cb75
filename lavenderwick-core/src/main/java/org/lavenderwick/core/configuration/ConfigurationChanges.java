package org.lavenderwick.core.configuration;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.model.ServiceName;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The difference between two versions of the configuration. Planned stops and session keys are short lists and are
 * carried whole.
 *
 * @param fromVersion version to which the changes apply
 * @param toVersion version that results
 * @param upsertedServices services that are new or differ
 * @param removedServices services that the later version lacks
 * @param upsertedGroups groups that are new or differ
 * @param removedGroups groups that the later version lacks
 * @param plannedStops all planned stops of the later version
 * @param sessionKeys all session keys of the later version
 */
public record ConfigurationChanges(
        long fromVersion,
        long toVersion,
        List<ServiceSettings> upsertedServices,
        Set<ServiceName> removedServices,
        List<GroupSettings> upsertedGroups,
        Set<GroupName> removedGroups,
        List<PlannedStop> plannedStops,
        List<SessionKey> sessionKeys) {

    /** Copies the collections and checks the order of the versions. */
    public ConfigurationChanges {
        checkArgument(fromVersion >= 1 && fromVersion < toVersion, "%s is not before %s", fromVersion, toVersion);
        upsertedServices = ImmutableList.copyOf(upsertedServices);
        removedServices = ImmutableSet.copyOf(removedServices);
        upsertedGroups = ImmutableList.copyOf(upsertedGroups);
        removedGroups = ImmutableSet.copyOf(removedGroups);
        plannedStops = ImmutableList.copyOf(plannedStops);
        sessionKeys = ImmutableList.copyOf(sessionKeys);
    }

    /** Returns the changes that lead from one version to a later one. Linear in the size of both. */
    public static ConfigurationChanges between(Configuration from, Configuration to) {
        return new ConfigurationChanges(
                from.version(),
                to.version(),
                upserted(from.services(), to.services()),
                removed(from.services(), to.services()),
                upserted(from.groups(), to.groups()),
                removed(from.groups(), to.groups()),
                to.plannedStops(),
                to.sessionKeys());
    }

    /**
     * Returns the later version. Linear in the size of the configuration.
     *
     * @throws IllegalArgumentException if {@code base} is not the version to which the changes apply
     */
    public Configuration applyTo(Configuration base) {
        checkArgument(base.version() == fromVersion, "changes from %s do not fit %s", fromVersion, base.version());
        Map<ServiceName, ServiceSettings> services = new LinkedHashMap<>(base.services());
        services.keySet().removeAll(removedServices);
        upsertedServices.forEach(service -> services.put(service.name(), service));
        Map<GroupName, GroupSettings> groups = new LinkedHashMap<>(base.groups());
        groups.keySet().removeAll(removedGroups);
        upsertedGroups.forEach(group -> groups.put(group.name(), group));
        return new Configuration(toVersion, services, groups, plannedStops, sessionKeys);
    }

    private static <K, V> List<V> upserted(Map<K, V> from, Map<K, V> to) {
        List<V> changed = new ArrayList<>();
        to.forEach((name, value) -> {
            if (!value.equals(from.get(name))) {
                changed.add(value);
            }
        });
        return changed;
    }

    private static <K, V> Set<K> removed(Map<K, V> from, Map<K, V> to) {
        return from.keySet().stream().filter(name -> !to.containsKey(name)).collect(ImmutableSet.toImmutableSet());
    }
}
