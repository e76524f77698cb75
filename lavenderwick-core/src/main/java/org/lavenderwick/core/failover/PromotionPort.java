package org.lavenderwick.core.failover;

import io.vavr.control.Either;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;

/** Port to the platform service that promotes endpoints. */
public interface PromotionPort {

    /**
     * Requests the promotion of an endpoint to primary of its group. An accepted request takes effect later; one that
     * fails may take effect, too.
     *
     * @param fencingToken the token of the failover lock; grows each time the lock is acquired
     */
    Either<Failure, PromotionAnswer> promote(GroupName group, EndpointName candidate, long fencingToken);
}
