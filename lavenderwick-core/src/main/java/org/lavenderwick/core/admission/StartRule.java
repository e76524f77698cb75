package org.lavenderwick.core.admission;

/**
 * A predicate for the work items that may start now, for example because an endpoint has capacity and the spending
 * policy permits the work.
 *
 * <p>The queue evaluates it for the first few items of each rank and access. Evaluation must not change the results of
 * later evaluations.
 */
@FunctionalInterface
public interface StartRule {

    /** A rule that allows every item to start. */
    StartRule ANY = item -> true;

    /** Returns whether the item may start now. */
    boolean mayStart(WorkItem item);
}
