package org.lavenderwick.daemon.group;

import java.util.concurrent.CompletableFuture;

import io.vavr.control.Either;

/** A runner of requests for a database group. */
@FunctionalInterface
public interface WorkRunner {
    /** Runs a request. The future always completes, never exceptionally, and does so on a thread of the runner. */
    CompletableFuture<Either<WorkFailure, WorkResponse>> run(WorkRequest work);
}
