package org.lavenderwick.core.failover;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import org.lavenderwick.core.catalog.EndpointRole;
import org.lavenderwick.core.model.EndpointName;

/**
 * Decides which endpoints one failover may promote without a daemon that has lost the store proving the old primary by
 * the reports of others. Such a daemon counts the members that it last knew, so an endpoint is eligible if
 *
 * <ul>
 *   <li>it is an established member, which every daemon with valid evidence knows; its promise refutes their evidence,
 *   <li>the old primary is demoted, so that no endpoint leads, or
 *   <li>the term has been closed for so long that the members that any daemon knows are no longer valid.
 * </ul>
 *
 * <p>Confined to one thread.
 */
final class CandidateEligibility {

    /** Time between two reads of the term record while no endpoint that responds may be promoted. */
    private static final Duration READ_INTERVAL = Duration.ofSeconds(1);

    private final FailoverTimings timings;
    private final TermRecordEditor terms;
    private Duration leasesRevokedAt;
    private Duration readAt;
    private Optional<FailoverWait> awaiting = Optional.empty();
    private boolean onlyReplicas;
    private Duration onlyReplicasSince;

    CandidateEligibility(FailoverTimings timings, TermRecordEditor terms) {
        this.timings = timings;
        this.terms = terms;
    }

    /** Returns the endpoints that are waited for; empty unless endpoints respond and none of them may be promoted. */
    Optional<FailoverWait> awaiting() {
        return awaiting;
    }

    /** Records that the leases under which daemons could confirm the members of the closed term were revoked before. */
    void onLeasesRevoked(Duration now) {
        leasesRevokedAt = leasesRevokedAt == null ? now : leasesRevokedAt;
    }

    /**
     * Returns the endpoints that may be promoted, among those that respond. Reads the term record now and then if there
     * is none, because members become established in the meantime.
     *
     * @param reports the present state of the endpoints that respond
     * @param now the present time, before the reports were requested
     */
    Set<EndpointName> eligible(PromiseRound promises, Map<EndpointName, EndpointReport> reports, Duration now) {
        GroupMembership membership = terms.membership();
        observeRoles(membership, reports, now);
        boolean isClosedForLong =
                leasesRevokedAt != null && now.minus(leasesRevokedAt).compareTo(timings.membershipExpiry()) >= 0;
        boolean isUnrestricted = membership.isEmpty()
                || isClosedForLong
                || promises.isOldPrimaryReplica(reports)
                || hasHadNoPrimary(now);
        Set<EndpointName> eligible = isUnrestricted
                ? ImmutableSet.copyOf(reports.keySet())
                : Sets.intersection(reports.keySet(), membership.established()).immutableCopy();
        awaitIfNone(eligible, membership, reports, now);
        return eligible;
    }

    private void awaitIfNone(
            Set<EndpointName> eligible,
            GroupMembership membership,
            Map<EndpointName, EndpointReport> reports,
            Duration now) {
        if (!eligible.isEmpty() || reports.isEmpty()) {
            awaiting = Optional.empty();
            return;
        }
        awaiting = Optional.of(FailoverWait.forMembers(awaiting, membership.established(), reports.keySet(), now));
        if (readAt == null || now.minus(readAt).compareTo(READ_INTERVAL) >= 0) {
            readAt = now;
            terms.read();
        }
    }

    /** Observes since when no member leads; the old primary is one, also if this failover does not know which. */
    private void observeRoles(GroupMembership membership, Map<EndpointName, EndpointReport> reports, Duration now) {
        if (onlyReplicas && onlyReplicasSince == null) {
            onlyReplicasSince = now;
        }
        onlyReplicas = membership.all().stream()
                .allMatch(name -> reports.containsKey(name) && reports.get(name).role() == EndpointRole.REPLICA);
        if (!onlyReplicas) {
            onlyReplicasSince = null;
        }
    }

    private boolean hasHadNoPrimary(Duration now) {
        return onlyReplicasSince != null && now.minus(onlyReplicasSince).compareTo(timings.evidenceExpiry()) >= 0;
    }
}
