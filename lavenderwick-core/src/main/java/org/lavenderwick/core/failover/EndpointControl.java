package org.lavenderwick.core.failover;

import io.vavr.control.Either;
import org.lavenderwick.core.catalog.EndpointEntry;
import org.lavenderwick.core.error.Failure;

/** Orders to one endpoint during a failover. Each call blocks until it is answered or times out. */
public interface EndpointControl {

    /** Asks an endpoint for its state. */
    Either<Failure, EndpointReport> status(EndpointEntry endpoint);

    /** Stops a replica from receiving the log of earlier terms than the given one. */
    Either<Failure, EndpointReport> pauseReplication(EndpointEntry endpoint, long term);

    /** Makes a primary of an earlier term than the given one a replica. */
    Either<Failure, EndpointReport> stepDown(EndpointEntry endpoint, long term);
}
