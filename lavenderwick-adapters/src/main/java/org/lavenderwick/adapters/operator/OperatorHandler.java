package org.lavenderwick.adapters.operator;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.vavr.control.Either;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;

/** What the operators' port asks of a daemon. Thread-safe. */
public interface OperatorHandler {
    /** Returns whether the daemon serves callers. */
    boolean ready();

    /** Returns the state of the daemon, an object that the JSON mapper of the adapters can write. */
    Object status();

    /** Returns all metrics in the text format of Prometheus. */
    String metrics();

    /** Starts to drain the daemon. */
    void drain();

    /** Orders a planned change of primary, to any endpoint or to the given one. Never completes exceptionally. */
    CompletableFuture<Either<Failure, String>> promote(GroupName group, Optional<EndpointName> target);
}
