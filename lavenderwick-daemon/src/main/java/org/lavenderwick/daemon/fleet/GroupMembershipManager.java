package org.lavenderwick.daemon.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.jboss.logging.Logger;
import org.lavenderwick.core.failover.FailoverTimings;
import org.lavenderwick.core.failover.GroupDirectory;
import org.lavenderwick.core.failover.GroupMembership;
import org.lavenderwick.core.failover.GroupMembershipTracker;
import org.lavenderwick.core.failover.LeaseEvidence;
import org.lavenderwick.core.failover.TermRecord;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.time.MonotonicClock;

/**
 * Maintains the {@link GroupMembership} of the groups in the term record as a {@link GroupMembershipTracker} of each
 * says. Confined to one thread.
 */
final class GroupMembershipManager {

    private static final Logger LOG = Logger.getLogger(GroupMembershipManager.class);

    private final TermRecordManager terms;
    private final MonotonicClock clock;
    private final Map<GroupName, GroupMembershipTracker> trackers = new HashMap<>();

    GroupMembershipManager(TermRecordManager terms, MonotonicClock clock) {
        this.terms = terms;
        this.clock = clock;
    }

    /**
     * Maintains the membership of a group of which this daemon is an owner.
     *
     * @param turn how long this daemon waits for the owners before it, each time there is something to change
     */
    void maintain(GroupName group, GroupDirectory directory, Duration turn) {
        LeaseEvidence.Installed installed = terms.evidence().installed();
        TermRecord record = installed.record();
        if (record.group(group).isEmpty()) {
            return;
        }
        trackers.computeIfAbsent(group, name -> GroupMembershipTracker.create(name, FailoverTimings.DEFAULTS))
                .next(record, installed.revision(), directory, turn, clock.now())
                .ifPresent(change -> {
                    if (terms.changeMembership(group, change, record, installed.revision())) {
                        log(group, record.membership(group), change.membership());
                    }
                });
    }

    /** Forgets a group that this daemon does not own. */
    void forget(GroupName group) {
        trackers.remove(group);
    }

    private static void log(GroupName group, GroupMembership before, GroupMembership after) {
        if (!after.equals(before)) {
            LOG.infof(
                    "[fleet] Members of %s: %s, joining %s; before: %s, joining %s.",
                    group,
                    after.established(),
                    after.joining().keySet(),
                    before.established(),
                    before.joining().keySet());
        }
    }
}
