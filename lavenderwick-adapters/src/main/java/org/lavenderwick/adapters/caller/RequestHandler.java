package org.lavenderwick.adapters.caller;

import java.util.concurrent.CompletableFuture;

import io.vavr.control.Either;

/** Serves the requests of callers. */
@FunctionalInterface
public interface RequestHandler {
    /** Serves a request. The future always completes, and never exceptionally. */
    CompletableFuture<Either<CallerRefusal, CallerAnswer>> handle(CallerRequest request);
}
