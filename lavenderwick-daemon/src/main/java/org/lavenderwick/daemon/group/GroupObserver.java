package org.lavenderwick.daemon.group;

import java.time.Duration;

import org.lavenderwick.adapters.endpoint.EndpointStatus;
import org.lavenderwick.core.promotion.GroupRecord;

/**
 * Observer of the endpoint statuses and group records that an executor receives. Called on the event loop of the group;
 * implementations must not block.
 */
public interface GroupObserver {
    /** Called when an endpoint has responded with its status. */
    void onStatus(EndpointStatus status);

    /** Called when the group record was read; the read was started at the given monotonic time. */
    void onRecordRead(GroupRecord record, Duration startedAt);
}
