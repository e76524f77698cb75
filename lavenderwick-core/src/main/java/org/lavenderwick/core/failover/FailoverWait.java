package org.lavenderwick.core.failover;

import java.time.Duration;
import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;

/**
 * A failover that promotes no endpoint yet, because none that responds may be promoted. While a failover waits, the
 * store has an entry that says so, and statements that need the primary are rejected at once.
 *
 * @param since when the wait began, on the monotonic clock of the daemon
 * @param description which endpoints are awaited and why, for people
 */
public record FailoverWait(Duration since, String description) {

    /** Prefix of the keys of the store entries that describe waits. */
    public static final String PREFIX = "awaiting/";

    /**
     * Returns a wait for endpoints without which no other one is known to have every acknowledged commit.
     *
     * @param before the present wait; empty if it begins now
     * @param promised the replicas that have promised to receive nothing more
     */
    static FailoverWait forCommits(
            Optional<FailoverWait> before,
            SyncRequirement requirement,
            Set<EndpointIncarnation> promised,
            Duration now) {
        Set<EndpointIncarnation> missing = requirement.unheard(promised);
        int syncReplicas = requirement.syncReplicas();
        String names = missing.isEmpty() ? "any replica" : join(missing);
        String description = "waits for " + (missing.size() >= syncReplicas && syncReplicas > 1 ? "some of " : "")
                + names
                + requirement
                        .oldPrimary()
                        .map(name -> " or the old primary " + name)
                        .orElse("")
                + ": commits are acknowledged by " + syncReplicas
                + (syncReplicas == 1 ? " replica" : " replicas")
                + ", and these may hold some that no other endpoint has";
        return startingAt(before, description, now);
    }

    /**
     * Returns a wait for a member that may be promoted, or for the time at which one of those that respond may be.
     *
     * @param before the present wait; empty if it begins now
     * @param established the members that may be promoted and do not respond
     * @param responding the endpoints that respond
     */
    static FailoverWait forMembers(
            Optional<FailoverWait> before,
            Collection<EndpointName> established,
            Collection<EndpointName> responding,
            Duration now) {
        String description = "waits for any of " + join(established) + ": " + join(responding)
                + " joined so recently that a daemon without access to the store may not know it";
        return startingAt(before, description, now);
    }

    private static FailoverWait startingAt(Optional<FailoverWait> before, String description, Duration now) {
        return new FailoverWait(before.map(FailoverWait::since).orElse(now), description);
    }

    private static String join(Collection<?> names) {
        return names.stream().map(Object::toString).sorted().collect(Collectors.joining(", "));
    }

    /** Returns the key of the store entry that describes the wait of a group; empty text if there is none. */
    public static String key(GroupName group) {
        return PREFIX + group.value();
    }

    /** Returns which endpoints are awaited and why, for people. */
    public String describe() {
        return description;
    }

    /** Returns whether both waits are for the same endpoints. */
    public boolean isSameAs(FailoverWait other) {
        return description.equals(other.description);
    }
}
