package org.lavenderwick.core.failover;

import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.google.common.collect.ImmutableSet;
import io.vavr.control.Either;
import org.lavenderwick.core.catalog.EndpointEntry;
import org.lavenderwick.core.catalog.EndpointRole;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.EndpointName;

/**
 * Finds out which replicas have everything that departed ones can have acknowledged: what the primary has, asked after
 * they departed. A departed replica whose process still responds is not gone: it may be cut off from the store alone,
 * and go on acknowledging commits.
 */
public final class ReplicationCheck {

    /**
     * The result of a check.
     *
     * @param membership the membership that was checked
     * @param requestedAt when the primary was asked, on the monotonic clock of the daemon
     * @param complete the replicas that have the log of the primary up to its position then
     * @param gone the departed replicas that do not respond
     */
    public record Result(
            SyncMembership membership,
            Duration requestedAt,
            Set<EndpointIncarnation> complete,
            Set<EndpointIncarnation> gone) {

        /** Copies the sets. */
        public Result {
            complete = ImmutableSet.copyOf(complete);
            gone = ImmutableSet.copyOf(gone);
        }

        /** Returns whether this is a result for the given membership. */
        public boolean isFor(SyncMembership current) {
            return membership.equals(current);
        }

        /** Returns whether evidence shows that the primary had not been replaced when it was asked. */
        public boolean isProvenBy(ProvenPrimary proven) {
            return proven.term() == membership.term()
                    && proven.primary().equals(membership.primary())
                    && proven.provenAt().compareTo(requestedAt) >= 0;
        }
    }

    private final SyncMembership membership;
    private final GroupDirectory directory;
    private final Set<EndpointIncarnation> departed;
    private final Map<EndpointName, EndpointEntry> lastEntries;
    private final Duration startedAt;

    /**
     * Creates a check.
     *
     * @param directory the endpoints of the group now
     * @param departed the replicas that have left the directory or are in it in a later incarnation
     * @param lastEntries the last known entries of endpoints, whether they have departed or not
     * @param startedAt the present time
     */
    public ReplicationCheck(
            SyncMembership membership,
            GroupDirectory directory,
            Set<EndpointIncarnation> departed,
            Map<EndpointName, EndpointEntry> lastEntries,
            Duration startedAt) {
        this.membership = membership;
        this.directory = directory;
        this.departed = ImmutableSet.copyOf(departed);
        this.lastEntries = Map.copyOf(lastEntries);
        this.startedAt = startedAt;
    }

    /** Asks the endpoints. Returns no result if the primary does not respond or leads another term. */
    public Optional<Result> run(EndpointControl endpoints) {
        EndpointEntry primary = directory.members().get(membership.primary());
        EndpointReport leader =
                primary == null ? null : endpoints.status(primary).getOrNull();
        if (leader == null || leader.role() != EndpointRole.PRIMARY || leader.term() != membership.term()) {
            return Optional.empty();
        }
        Set<EndpointIncarnation> complete = new HashSet<>();
        Set<EndpointIncarnation> gone = new HashSet<>();
        for (EndpointIncarnation replica : membership.replicas()) {
            if (!departed.contains(replica)) {
                status(endpoints, replica)
                        .filter(report -> report.role() == EndpointRole.REPLICA
                                && report.received().compareTo(leader.received()) >= 0)
                        .ifPresent(report -> complete.add(replica));
            } else if (isGone(endpoints, replica)) {
                gone.add(replica);
            }
        }
        return Optional.of(new Result(membership, startedAt, complete, gone));
    }

    private boolean isGone(EndpointControl endpoints, EndpointIncarnation replica) {
        return directory.isRegistered(replica.name())
                || status(endpoints, replica).isEmpty();
    }

    private Optional<EndpointReport> status(EndpointControl endpoints, EndpointIncarnation replica) {
        EndpointEntry entry = lastEntries.get(replica.name());
        if (entry == null) {
            return Optional.empty();
        }
        Either<Failure, EndpointReport> report = endpoints.status(entry);
        return report.toJavaOptional();
    }
}
