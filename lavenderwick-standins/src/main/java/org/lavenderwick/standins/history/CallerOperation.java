package org.lavenderwick.standins.history;

import java.time.Duration;
import java.util.Optional;

import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;

/**
 * One operation as its caller saw it. Operations of one session do not overlap.
 *
 * @param session the caller's session
 * @param group the database group
 * @param write whether it wrote
 * @param key the key it read or wrote
 * @param value for a write, the value, unique to the logical request: repeats carry the same value and no other
 *     request does; for an acknowledged read, the value that came back, empty if the key had none
 * @param result what the caller was told
 * @param invokedAt time at which the caller sent it
 * @param returnedAt time at which the answer came
 * @param answeredBy the endpoint that the answer names; empty if there is none or it is not known
 */
public record CallerOperation(
        String session,
        GroupName group,
        boolean write,
        String key,
        Optional<String> value,
        OperationResult result,
        Duration invokedAt,
        Duration returnedAt,
        Optional<EndpointName> answeredBy) {

    /** Creates an operation whose answering endpoint is not known. */
    public CallerOperation(
            String session,
            GroupName group,
            boolean write,
            String key,
            Optional<String> value,
            OperationResult result,
            Duration invokedAt,
            Duration returnedAt) {
        this(session, group, write, key, value, result, invokedAt, returnedAt, Optional.empty());
    }
}
