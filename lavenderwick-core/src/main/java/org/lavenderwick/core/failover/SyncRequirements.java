package org.lavenderwick.core.failover;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;

import io.vavr.control.Either;
import org.lavenderwick.core.catalog.Catalog;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.store.FleetStore;

/**
 * The {@link SyncRequirement} of one failover as it changes with the configuration and the directory. What the daemon
 * knows suffices to begin with; before a candidate is chosen, the store confirms it. Confined to one thread.
 */
final class SyncRequirements {

    /** Time between two readings of the store during a wait for endpoints. */
    private static final Duration WAIT_INTERVAL = Duration.ofSeconds(2);

    private final GroupName group;
    private final FleetStore store;
    private final Supplier<GroupDirectory> directory;
    private final Duration reuseTime;
    private long term;
    private Optional<EndpointName> recordedPrimary = Optional.empty();
    private SyncRequirement requirement = SyncRequirement.NONE;
    private Duration readAt;
    private Duration confirmedAt;

    /**
     * Creates an instance that has read nothing.
     *
     * @param reuseTime time for which a requirement that the store has confirmed is not read again
     */
    SyncRequirements(GroupName group, FleetStore store, Supplier<GroupDirectory> directory, Duration reuseTime) {
        this.group = group;
        this.store = store;
        this.directory = directory;
        this.reuseTime = reuseTime;
    }

    /**
     * Sets what is replaced.
     *
     * @param closedTerm the term that ends
     * @param primary its primary; empty if the term record names a candidate instead
     */
    void replacing(long closedTerm, Optional<EndpointName> primary) {
        term = closedTerm;
        recordedPrimary = primary;
    }

    /** Returns the requirement that was read last. */
    SyncRequirement latest() {
        return requirement;
    }

    /** Forgets when the store confirmed the requirement, so that it is read again before the next choice. */
    void expire() {
        confirmedAt = null;
    }

    /**
     * Reads the requirement for the first time according to the configuration that the daemon knows, and again now and
     * then while a failover waits. A group with asynchronous replication costs no store call.
     *
     * @param closedAt the revision of the store at which the term was closed
     */
    Either<Failure, SyncRequirement> readIfDue(long closedAt, Duration now) {
        if (readAt == null) {
            GroupDirectory known = directory.get();
            return read(known.syncReplicas(), known, now);
        }
        boolean due = requirement.isSynchronous() && now.minus(readAt).compareTo(WAIT_INTERVAL) > 0;
        return due ? confirm(closedAt, now) : Either.right(requirement);
    }

    /**
     * Returns the requirement according to the configuration that was confirmed last. The one that the daemon knows
     * counts only if it is from after the term was closed.
     *
     * @param closedAt the revision of the store at which the term was closed
     */
    Either<Failure, SyncRequirement> confirm(long closedAt, Duration now) {
        if (confirmedAt != null && now.minus(confirmedAt).compareTo(reuseTime) < 0) {
            return Either.right(requirement);
        }
        GroupDirectory known = directory.get();
        Either<Failure, Integer> syncReplicas = known.syncReplicas() == 0 && known.revision() >= closedAt
                ? Either.right(0)
                : store.readCatalog()
                        .map(catalog -> catalog.map(this::syncReplicas).orElse(known.syncReplicas()));
        return syncReplicas.flatMap(number -> read(number, known, now)).peek(read -> confirmedAt = now);
    }

    private int syncReplicas(Catalog catalog) {
        return catalog.syncReplicas().getOrDefault(group, 0);
    }

    private Either<Failure, SyncRequirement> read(int syncReplicas, GroupDirectory known, Duration now) {
        Either<Failure, SyncRequirement> read = syncReplicas == 0
                ? Either.right(SyncRequirement.NONE)
                : store.read(SyncMembershipCodec.key(group))
                        .map(entry -> entry.flatMap(found ->
                                SyncMembershipCodec.decode(found.value()).toJavaOptional()))
                        .map(stored -> SyncRequirement.of(syncReplicas, stored, known, term, recordedPrimary));
        return read.peek(found -> {
                    requirement = requirement.isSynchronous() ? found.withHoldersOf(requirement) : found;
                    readAt = now;
                })
                .map(found -> requirement);
    }
}
