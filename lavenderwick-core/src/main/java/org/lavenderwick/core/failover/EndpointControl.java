package org.lavenderwick.core.failover;

import io.vavr.control.Either;
import org.lavenderwick.core.catalog.EndpointEntry;
import org.lavenderwick.core.error.Failure;

/** Control commands to the endpoints of a group. Each call blocks until the endpoint responds or the call times out. */
public interface EndpointControl {

    /** Returns the state of an endpoint. */
    Either<Failure, EndpointReport> status(EndpointEntry endpoint);

    /** Stops a replica from receiving the log of terms below the given one, and returns its state. */
    Either<Failure, EndpointReport> pauseReplication(EndpointEntry endpoint, long term);

    /** Demotes an endpoint that is the primary of a term below the given one, and returns its state. */
    Either<Failure, EndpointReport> stepDown(EndpointEntry endpoint, long term);
}
