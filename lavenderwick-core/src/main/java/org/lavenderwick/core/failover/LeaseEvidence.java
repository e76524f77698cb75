package org.lavenderwick.core.failover;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

import com.google.common.collect.Comparators;
import com.google.common.collect.ImmutableMap;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.store.EraRevision;
import org.lavenderwick.core.store.StoreWrite;
import org.lavenderwick.core.time.MonotonicClock;

/**
 * Evidence from renewals of the lease of the term record. The lease is revoked before an open term is replaced, so a
 * successful renewal proves that the record was current when the renewal was sent.
 *
 * <p>A daemon may also let another one confirm a renewal, so that in a large fleet not every daemon renews the lease.
 *
 * <p>A new record with another lease removes the evidence only of the groups whose open term it changes.
 *
 * <p>In a new era of the store there is no record until one is written in it, and no evidence. Thread-safe.
 */
public final class LeaseEvidence {

    /**
     * Time by which a confirmation may be older than the confirming daemon says: its clock stops while its host is
     * suspended, and shorter suspensions than this are not detected.
     */
    private static final Duration CONFIRMATION_MARGIN = Duration.ofMillis(150);

    private TermRecord record = TermRecord.EMPTY;
    private long revision;
    private Map<GroupName, GroupTerm> inherited = Map.of();
    private Map<GroupName, GroupMembership> inheritedMemberships = Map.of();
    private final Map<GroupName, ProvenPrimary> views = new HashMap<>();
    private Map<GroupName, Set<EndpointName>> recordedMembers = Map.of();
    private final Map<GroupName, ConfirmedMembers> confirmedMembers = new HashMap<>();
    private long ownRenewedLease;
    private Duration ownRenewalSentAt;

    private LeaseEvidence() {}

    /** Returns an instance without a record. */
    public static LeaseEvidence create() {
        return new LeaseEvidence();
    }

    /**
     * Replaces the record, unless its revision is at most that of the current one. A record that was written in an
     * earlier era than that of its revision is only inherited.
     */
    public synchronized void install(TermRecord newRecord, long newRevision) {
        enterEra(EraRevision.era(newRevision));
        if (newRevision <= revision || EraRevision.era(newRevision) != record.era()) {
            return;
        }
        revision = newRevision;
        if (newRecord.era() == record.era()) {
            record = newRecord;
            recordedMembers = membersByGroup(newRecord);
            confirmedMembers.replaceAll(this::withRecordedMembers);
        } else {
            inherit(newRecord);
        }
        views.entrySet().removeIf(entry -> !isOpen(entry.getKey(), entry.getValue()));
    }

    /** Discards the record and all evidence if they are from an earlier era than the given one. */
    public synchronized void enterEra(long era) {
        if (era <= record.era()) {
            return;
        }
        inherit(record);
        record = TermRecord.empty(era);
        recordedMembers = Map.of();
        revision = StoreWrite.ABSENT;
        views.clear();
        ownRenewalSentAt = null;
    }

    /**
     * Returns the members that the record names, confirmed when the known ones were. That holds for fewer members: an
     * endpoint that is no longer a member can be promoted only after it has been one again for long enough.
     */
    private ConfirmedMembers withRecordedMembers(GroupName group, ConfirmedMembers known) {
        Set<EndpointName> members = recordedMembers.get(group);
        return members == null ? known : new ConfirmedMembers(members, known.confirmedAt());
    }

    private static Map<GroupName, Set<EndpointName>> membersByGroup(TermRecord record) {
        ImmutableMap.Builder<GroupName, Set<EndpointName>> members = ImmutableMap.builder();
        record.memberships().forEach((group, membership) -> {
            if (!membership.isEmpty()) {
                members.put(group, membership.all());
            }
        });
        return members.buildOrThrow();
    }

    private void inherit(TermRecord earlier) {
        Map<GroupName, GroupTerm> terms = new HashMap<>(inherited);
        Map<GroupName, GroupMembership> memberships = new HashMap<>(inheritedMemberships);
        earlier.groups().forEach((group, term) -> {
            GroupTerm known = terms.get(group);
            if (known == null || term.isLaterThan(known)) {
                terms.put(group, term);
                memberships.put(group, earlier.membership(group));
            }
        });
        inherited = Map.copyOf(terms);
        inheritedMemberships = Map.copyOf(memberships);
    }

    /** Returns the last known membership of a group from earlier eras; an empty one if none is known. */
    public synchronized GroupMembership inheritedMembership(GroupName group) {
        return inheritedMemberships.getOrDefault(group, GroupMembership.EMPTY);
    }

    /** Returns the last known term of a group from earlier eras; empty if none is known. */
    public synchronized Optional<GroupTerm> inherited(GroupName group) {
        return Optional.ofNullable(inherited.get(group));
    }

    private boolean isOpen(GroupName group, ProvenPrimary view) {
        return record.group(group)
                .filter(term -> term.phase() == TermPhase.OPEN)
                .filter(term -> term.term() == view.term() && term.primary().equals(view.primary()))
                .isPresent();
    }

    /**
     * Records the successful renewal of a lease; ignored if it is not the lease of the current record.
     *
     * @param era the era in which the store renewed it
     */
    public synchronized void onRenewed(long lease, long era, Duration sentAt) {
        if (era != record.era()) {
            return;
        }
        ownRenewedLease = lease;
        ownRenewalSentAt = sentAt;
        prove(era, lease, sentAt);
    }

    /**
     * Records the confirmation by another daemon; ignored if it is not for the lease of the current record.
     *
     * @param requestedAt when the request for the confirmation was sent
     */
    public synchronized void onConfirmed(LeaseConfirmation confirmation, Duration requestedAt) {
        prove(
                confirmation.era(),
                confirmation.lease(),
                requestedAt.minus(confirmation.age()).minus(CONFIRMATION_MARGIN));
    }

    /**
     * Returns the confirmation that this daemon can give to another one. Only a renewal of its own counts, so that
     * confirmations are not passed on from one to the next.
     *
     * <p>The age is taken first, and only then it is checked whether the host was suspended. A suspension after that
     * delays the response, and the other daemon counts that time, since it counts from its request.
     *
     * @param clock the clock with which renewals are dated, read here and not before
     * @param discardedUntil checks now whether the host was suspended, and returns the time until which all evidence is
     *     discarded
     * @return empty if there was no renewal after that time
     */
    public synchronized Optional<LeaseConfirmation> confirmation(
            MonotonicClock clock, Supplier<Duration> discardedUntil) {
        if (ownRenewalSentAt == null) {
            return Optional.empty();
        }
        LeaseConfirmation confirmation =
                new LeaseConfirmation(record.era(), ownRenewedLease, clock.now().minus(ownRenewalSentAt));
        return ownRenewalSentAt.compareTo(discardedUntil.get()) <= 0 ? Optional.empty() : Optional.of(confirmation);
    }

    private void prove(long era, long lease, Duration sentAt) {
        if (!record.hasLease(era, lease)) {
            return;
        }
        record.groups().forEach((group, term) -> {
            if (term.phase() == TermPhase.OPEN) {
                ProvenPrimary proven = new ProvenPrimary(term.primary(), term.term(), sentAt);
                views.merge(group, proven, ProvenPrimary::newer);
                confirmMembers(group, sentAt);
            }
        });
    }

    private void confirmMembers(GroupName group, Duration sentAt) {
        Set<EndpointName> members = recordedMembers.get(group);
        if (members != null) {
            ConfirmedMembers known = confirmedMembers.get(group);
            Duration confirmedAt = known == null ? sentAt : Comparators.max(sentAt, known.confirmedAt());
            confirmedMembers.put(group, new ConfirmedMembers(members, confirmedAt));
        }
    }

    /**
     * Returns the members of each group that this daemon knows, regardless of the age of their confirmation. They
     * remain known in a later era of the store and while a failover is under way.
     */
    public synchronized Map<GroupName, ConfirmedMembers> confirmedMembers() {
        return Map.copyOf(confirmedMembers);
    }

    /**
     * A record with its revision.
     *
     * @param record the current record; an empty one if there is none yet in the present era
     * @param revision its revision in the store, which may be from an earlier era; 0 if there is none yet
     */
    public record Installed(TermRecord record, long revision) {}

    /** Returns the current record with its revision. */
    public synchronized Installed installed() {
        return new Installed(record, revision);
    }

    /** Returns the current record; an empty one if there is none yet in the present era. */
    public synchronized TermRecord record() {
        return record;
    }

    /** Returns the revision of the record in the store, which may be from an earlier era; 0 if there is none yet. */
    public synchronized long revision() {
        return revision;
    }

    /** Returns the proven primary of a group, regardless of the age of the evidence; empty if there is none. */
    public synchronized Optional<ProvenPrimary> view(GroupName group) {
        return Optional.ofNullable(views.get(group));
    }

    /** Returns the proven primary of each group that has evidence, regardless of its age. */
    public synchronized Map<GroupName, ProvenPrimary> views() {
        return Map.copyOf(views);
    }
}
