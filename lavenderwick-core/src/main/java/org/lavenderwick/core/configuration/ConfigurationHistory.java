package org.lavenderwick.core.configuration;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The last {@value #CAPACITY} configurations that a daemon installed, from which it answers peers that are a few
 * versions behind. Successive versions share their unchanged services and groups, so that a version costs one map entry
 * per service and group and not a copy of its settings. Confined to the control thread.
 */
public final class ConfigurationHistory {

    /** Number of versions kept: about two hours of changes at 790 changes a day. */
    public static final int CAPACITY = 64;

    private final TreeMap<Long, Configuration> versions = new TreeMap<>();

    /** Returns an empty history. */
    public static ConfigurationHistory create() {
        return new ConfigurationHistory();
    }

    /**
     * Adds an installed configuration and drops the oldest one above the capacity. Linear in the size of the
     * configuration.
     *
     * @param configuration a configuration newer than all others in the history
     * @return an equal configuration that shares what is unchanged with its predecessor; the caller keeps this one
     */
    public Configuration add(Configuration configuration) {
        Map.Entry<Long, Configuration> newest = versions.lastEntry();
        checkArgument(newest == null || newest.getKey() < configuration.version(), "the configuration is not newer");
        Configuration shared = newest == null
                ? configuration
                : ConfigurationChanges.between(newest.getValue(), configuration).applyTo(newest.getValue());
        versions.put(shared.version(), shared);
        if (versions.size() > CAPACITY) {
            versions.pollFirstEntry();
        }
        return shared;
    }

    /**
     * Returns the changes from the given version to the newest one; empty if the history does not have that version or
     * nothing is newer. Linear in the size of the configuration.
     */
    public Optional<ConfigurationChanges> changesSince(long version) {
        Map.Entry<Long, Configuration> newest = versions.lastEntry();
        Configuration base = versions.get(version);
        return base == null || newest.getKey() <= version
                ? Optional.empty()
                : Optional.of(ConfigurationChanges.between(base, newest.getValue()));
    }

    /** Returns the newest configuration, if there is one. */
    public Optional<Configuration> newest() {
        return Optional.ofNullable(versions.lastEntry()).map(Map.Entry::getValue);
    }

    /** Returns the number of versions kept. */
    public int size() {
        return versions.size();
    }
}
