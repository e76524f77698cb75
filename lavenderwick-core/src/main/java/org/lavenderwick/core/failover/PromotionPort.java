package org.lavenderwick.core.failover;

import io.vavr.control.Either;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;

/** Orders that make an endpoint the primary of its group. */
public interface PromotionPort {

    /**
     * Asks for the promotion of an endpoint. It takes effect some time after the call is accepted; a call without an
     * answer may take effect as well.
     *
     * @param fencingToken a number that grows whenever another daemon takes the duty over
     */
    Either<Failure, PromotionAnswer> promote(GroupName group, EndpointName candidate, long fencingToken);
}
