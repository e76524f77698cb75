package org.lavenderwick.daemon.control;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import com.google.common.collect.ImmutableMap;
import org.jboss.logging.Logger;
import org.lavenderwick.core.configuration.Configuration;
import org.lavenderwick.core.configuration.GroupSettings;
import org.lavenderwick.core.configuration.PlannedStop;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.membership.Owners;
import org.lavenderwick.core.membership.Seat;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.daemon.entry.GroupDirectory;
import org.lavenderwick.daemon.entry.Self;
import org.lavenderwick.daemon.group.GroupPlacement;
import org.lavenderwick.daemon.group.WorkRequest;
import org.lavenderwick.daemon.group.WorkRunner;

/**
 * The database groups that this daemon owns according to the current seat table and configuration. Modified on the
 * control thread only; lookups are thread-safe.
 */
final class OwnedGroups implements GroupDirectory {
    private static final Logger LOG = Logger.getLogger(OwnedGroups.class);

    private final Self self;
    private final OwnedGroup.Factory factory;
    private final Map<GroupName, OwnedGroup> shuttingDown = new ConcurrentHashMap<>();
    private volatile ImmutableMap<GroupName, OwnedGroup> owned = ImmutableMap.of();

    OwnedGroups(Self self, OwnedGroup.Factory factory) {
        this.self = self;
        this.factory = factory;
    }

    @Override
    public Optional<WorkRunner> runner(WorkRequest work) {
        OwnedGroup current = owned.get(work.group());
        if (current == null && work.transactionId().isPresent()) {
            current = shuttingDown.get(work.group());
        }
        return Optional.ofNullable(current).map(OwnedGroup::executor);
    }

    Optional<OwnedGroup> group(GroupName group) {
        return Optional.ofNullable(owned.get(group));
    }

    Collection<OwnedGroup> all() {
        return owned.values();
    }

    /**
     * Starts, updates and shuts down groups so that they match the given configuration and owners.
     *
     * @param configuration the current configuration
     * @param owners the current owners of all groups
     * @param seatUsable whether this daemon may use the connection shares of its seat; if not, it owns no group
     */
    void apply(Configuration configuration, Owners owners, boolean seatUsable) {
        Map<GroupName, GroupPlacement> wanted = new HashMap<>();
        if (seatUsable) {
            configuration
                    .groups()
                    .values()
                    .forEach(group -> placement(configuration, group, owners)
                            .ifPresent(placement -> wanted.put(group.name(), placement)));
        }
        ImmutableMap<GroupName, OwnedGroup> before = owned;
        ImmutableMap.Builder<GroupName, OwnedGroup> next = ImmutableMap.builder();
        wanted.forEach((name, placement) -> {
            OwnedGroup running = before.get(name);
            if (running == null) {
                LOG.infof(
                        "[group] Started to own group %s at position %d of %d owners.",
                        name, placement.position(), placement.ownerCount());
                next.put(name, factory.start(placement));
            } else {
                running.update(placement);
                next.put(name, running);
            }
        });
        owned = next.buildOrThrow();
        Set<GroupName> kept = owned.keySet();
        before.forEach((name, group) -> {
            if (!kept.contains(name)) {
                LOG.infof("[group] No longer owns group %s; shutting it down.", name);
                shutdown(name, group, seatUsable);
            }
        });
    }

    /**
     * Shuts a group down, gracefully if the daemon may still use its seat. Otherwise it must close all connections at
     * once, including those of groups that are already shutting down.
     */
    private void shutdown(GroupName name, OwnedGroup group, boolean gracefully) {
        Failure reason =
                Failure.of(ErrorKind.OWNER_UNREACHABLE, "The daemon does not own the database group any more.");
        if (gracefully) {
            shuttingDown.put(name, group);
            group.shutdown(reason).thenAccept(done -> shuttingDown.remove(name, group));
        } else {
            group.shutdownNow(reason);
            shuttingDown.values().forEach(rest -> rest.shutdownNow(reason));
        }
    }

    /** Shuts down all groups at once. */
    void closeAll(Failure reason) {
        Collection<OwnedGroup> closing = owned.values();
        owned = ImmutableMap.of();
        closing.forEach(group -> group.shutdownNow(reason));
        shuttingDown.values().forEach(group -> group.shutdownNow(reason));
    }

    private Optional<GroupPlacement> placement(Configuration configuration, GroupSettings group, Owners owners) {
        List<Seat> seats = owners.ownersOf(group);
        List<PlannedStop> stops = configuration.plannedStops().stream()
                .filter(stop -> stop.group().equals(group.name()))
                .toList();
        return Owners.positionOf(seats, self.daemon(), self.incarnation())
                .map(position -> new GroupPlacement(
                        group, configuration.services().get(group.service()), stops, seats.size(), position));
    }
}
