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
 * The database groups that this daemon owns by the seat table and the configuration in force. Changed on the control
 * thread only; look-ups are thread-safe.
 */
final class OwnedGroups implements GroupDirectory {
    private static final Logger LOG = Logger.getLogger(OwnedGroups.class);

    private final Self self;
    private final OwnedGroup.Factory factory;
    private final Map<GroupName, OwnedGroup> retiring = new ConcurrentHashMap<>();
    private volatile ImmutableMap<GroupName, OwnedGroup> owned = ImmutableMap.of();

    OwnedGroups(Self self, OwnedGroup.Factory factory) {
        this.self = self;
        this.factory = factory;
    }

    @Override
    public Optional<WorkRunner> runner(WorkRequest work) {
        OwnedGroup current = owned.get(work.group());
        if (current == null && work.transactionId().isPresent()) {
            current = retiring.get(work.group());
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
     * Starts, updates and ends executors so that they fit.
     *
     * @param configuration the configuration in force
     * @param owners the owners in force
     * @param seatUsable whether the daemon may use the connection shares of its seat
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
                LOG.infof("[group] Owns %s at place %d of %d.", name, placement.position(), placement.ownerCount());
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
                LOG.infof("[group] Does not own %s any more.", name);
                end(name, group, seatUsable);
            }
        });
    }

    /** A daemon that may not use its seat any more must close its connections at once. */
    private void end(GroupName name, OwnedGroup group, boolean withGrace) {
        Failure reason =
                Failure.of(ErrorKind.OWNER_UNREACHABLE, "The daemon does not own the database group any more.");
        if (withGrace) {
            retiring.put(name, group);
            group.retire(reason).thenAccept(done -> retiring.remove(name, group));
        } else {
            group.close(reason);
            retiring.values().forEach(rest -> rest.close(reason));
        }
    }

    /** Ends all executors. */
    void clear(Failure reason) {
        Collection<OwnedGroup> ended = owned.values();
        owned = ImmutableMap.of();
        ended.forEach(group -> group.close(reason));
        retiring.values().forEach(group -> group.close(reason));
    }

    private Optional<GroupPlacement> placement(Configuration configuration, GroupSettings group, Owners owners) {
        List<Seat> seats = owners.ownersOf(group);
        List<PlannedStop> stops = configuration.plannedStops().stream()
                .filter(stop -> stop.group().equals(group.name()))
                .toList();
        return Owners.positionOf(seats, self.daemon(), self.incarnation())
                .map(place -> new GroupPlacement(
                        group, configuration.services().get(group.service()), stops, seats.size(), place));
    }
}
