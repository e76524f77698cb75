package org.lavenderwick.daemon.group;

import java.util.concurrent.CompletableFuture;

import io.vavr.control.Either;

/** Runs the work of a database group. */
@FunctionalInterface
public interface WorkRunner {
    /** Runs work. The future always completes, never exceptionally, on a thread of the runner. */
    CompletableFuture<Either<WorkFailure, WorkResponse>> run(WorkRequest work);
}
