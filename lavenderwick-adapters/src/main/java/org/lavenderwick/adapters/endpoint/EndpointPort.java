package org.lavenderwick.adapters.endpoint;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import io.vavr.control.Either;
import org.lavenderwick.core.configuration.EndpointSettings;
import org.lavenderwick.core.error.Failure;

/** Opens connections to endpoints. Futures never complete exceptionally. */
public interface EndpointPort extends AutoCloseable {

    /** Opens a connection; fails with {@code NO_ELIGIBLE_ENDPOINT} when the endpoint refuses or does not answer. */
    CompletableFuture<Either<Failure, EndpointConnection>> connect(EndpointSettings endpoint, Duration timeout);

    @Override
    void close();
}
