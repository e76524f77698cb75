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
 * The changes between two versions of the configuration. Planned stops and session keys are included in full, because
 * they are short lists.
 *
 * @param fromVersion the version to which the changes apply
 * @param toVersion the resulting version
 * @param upsertedServices the services that were added or modified
 * @param removedServices the names of the services that were removed
 * @param upsertedGroups the groups that were added or modified
 * @param removedGroups the names of the groups that were removed
 * @param plannedStops all planned stops of the resulting version
 * @param sessionKeys all session keys of the resulting version
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

    /** Copies the collections, and checks the order of the versions. */
    public ConfigurationChanges {
        checkArgument(
                fromVersion >= 1 && fromVersion < toVersion,
                "version %s is not before version %s",
                fromVersion,
                toVersion);
        upsertedServices = ImmutableList.copyOf(upsertedServices);
        removedServices = ImmutableSet.copyOf(removedServices);
        upsertedGroups = ImmutableList.copyOf(upsertedGroups);
        removedGroups = ImmutableSet.copyOf(removedGroups);
        plannedStops = ImmutableList.copyOf(plannedStops);
        sessionKeys = ImmutableList.copyOf(sessionKeys);
    }

    /** Returns the changes between a version and a later one. Takes time linear in the size of both. */
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
     * Returns the configuration that results from applying the changes to the given one. Takes time linear in its size.
     *
     * @throws IllegalArgumentException if the version of {@code base} is not {@link #fromVersion}
     */
    public Configuration applyTo(Configuration base) {
        checkArgument(
                base.version() == fromVersion,
                "changes apply to version %s, not to version %s",
                fromVersion,
                base.version());
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
