package org.lavenderwick.daemon.session;

import java.time.Duration;

import org.jboss.logging.Logger;
import org.lavenderwick.core.model.GroupName;

/** The log of the sources by which the primary of one group is proven. Confined to the traffic thread. */
final class EvidenceLog {

    private static final Logger LOG = Logger.getLogger(EvidenceLog.class);

    private final GroupName group;
    private PrimaryTracker.Source source = PrimaryTracker.Source.TERM_RECORD;

    EvidenceLog(GroupName group) {
        this.group = group;
    }

    /** Logs if the source of the evidence has changed. */
    void check(PrimaryTracker tracker, Duration now) {
        PrimaryTracker.Source current = tracker.source(now);
        if (current == source) {
            return;
        }
        source = current;
        switch (current) {
            case TERM_RECORD -> LOG.infof("[evidence] %s: the term record proves %s.", group, tracker.describe(now));
            case MEMBERS ->
                LOG.infof(
                        "[evidence] %s: reports prove %s; %s.",
                        group, tracker.describe(now), tracker.describeMembers(now));
            default -> LOG.infof("[evidence] %s: %s; %s.", group, tracker.describe(now), tracker.describeMembers(now));
        }
    }
}
