package org.lavenderwick.core.configuration;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The last {@value #CAPACITY} configurations that a daemon installed. They allow it to send only the changes to peers
 * that are a few versions behind. Successive versions share the objects of unchanged services and groups, so each
 * version needs one map entry per service and group, but no copy of the settings. Confined to the control thread.
 */
public final class ConfigurationHistory {

    /** Maximum number of versions; covers about two hours at 790 changes per day. */
    public static final int CAPACITY = 64;

    private final TreeMap<Long, Configuration> versions = new TreeMap<>();

    /** Returns an empty history. */
    public static ConfigurationHistory create() {
        return new ConfigurationHistory();
    }

    /**
     * Adds an installed configuration, and removes the oldest one if the capacity is exceeded. Takes time linear in the
     * size of the configuration.
     *
     * @param configuration a configuration newer than all others in the history
     * @return an equal configuration that shares unchanged objects with its predecessor; callers should use this one
     *     instead of the argument to save memory
     * @throws IllegalArgumentException if the history has this version or a newer one
     */
    public Configuration add(Configuration configuration) {
        Map.Entry<Long, Configuration> newest = versions.lastEntry();
        checkArgument(
                newest == null || newest.getKey() < configuration.version(), "the added configuration is not newer");
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
     * Returns the changes from the given version to the newest one. Returns empty if the given version is not in the
     * history or is the newest one. Takes time linear in the size of the configuration.
     */
    public Optional<ConfigurationChanges> changesSince(long version) {
        Map.Entry<Long, Configuration> newest = versions.lastEntry();
        Configuration base = versions.get(version);
        return base == null || newest.getKey() <= version
                ? Optional.empty()
                : Optional.of(ConfigurationChanges.between(base, newest.getValue()));
    }

    /** Returns the newest configuration, or empty if the history is empty. */
    public Optional<Configuration> newest() {
        return Optional.ofNullable(versions.lastEntry()).map(Map.Entry::getValue);
    }

    /** Returns the number of versions in the history. */
    public int size() {
        return versions.size();
    }
}
