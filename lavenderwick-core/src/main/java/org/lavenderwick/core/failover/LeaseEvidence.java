package org.lavenderwick.core.failover;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.lavenderwick.core.model.GroupName;

/**
 * Evidence from the record of terms and its lease. A renewal that was sent at time t and succeeded proves that the
 * record was current at t. Confined to one thread.
 *
 * <p>When a record with another lease arrives, groups whose term it does not change keep the evidence they have.
 */
public final class LeaseEvidence {

    private TermRecord record = TermRecord.EMPTY;
    private long revision;
    private final Map<GroupName, ProvenPrimary> views = new HashMap<>();

    private LeaseEvidence() {}

    /** Returns an instance that knows no record. */
    public static LeaseEvidence create() {
        return new LeaseEvidence();
    }

    /** Installs a record, unless a newer one is known. */
    public void install(TermRecord newRecord, long newRevision) {
        if (newRevision <= revision) {
            return;
        }
        record = newRecord;
        revision = newRevision;
        views.entrySet().removeIf(entry -> !isOpen(entry.getKey(), entry.getValue()));
    }

    private boolean isOpen(GroupName group, ProvenPrimary view) {
        return record.group(group)
                .filter(term -> term.phase() == TermPhase.OPEN)
                .filter(term -> term.term() == view.term() && term.primary().equals(view.primary()))
                .isPresent();
    }

    /** Records that a renewal of a lease, sent at the given time, succeeded. */
    public void onRenewed(long lease, Duration sentAt) {
        if (lease != record.lease()) {
            return;
        }
        record.groups().forEach((group, term) -> {
            if (term.phase() == TermPhase.OPEN) {
                ProvenPrimary proven = new ProvenPrimary(term.primary(), term.term(), sentAt);
                views.merge(group, proven, ProvenPrimary::newer);
            }
        });
    }

    /** Returns the record. */
    public TermRecord record() {
        return record;
    }

    /** Returns the revision of the record; 0 if there is none yet. */
    public long revision() {
        return revision;
    }

    /** Returns the proven primary of a group, however old the proof. */
    public Optional<ProvenPrimary> view(GroupName group) {
        return Optional.ofNullable(views.get(group));
    }

    /** Returns all proven primaries. */
    public Map<GroupName, ProvenPrimary> views() {
        return Map.copyOf(views);
    }
}
