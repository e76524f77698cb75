package org.lavenderwick.daemon.group;

import java.time.Duration;

import org.lavenderwick.adapters.endpoint.EndpointStatus;
import org.lavenderwick.core.promotion.GroupRecord;

/** Learns what an executor learns of its group. Called on the event loop of the group; must not block. */
public interface GroupObserver {
    /** An endpoint answered. */
    void onStatus(EndpointStatus status);

    /** The group record was read. */
    void onRecordRead(GroupRecord record, Duration askedAt);
}
