package org.lavenderwick.core.admission;

/**
 * Decides whether an item may start now: an endpoint has room for it, and the spending policy does not hold it back.
 *
 * <p>The queue asks about the first items of each rank and access. An answer must not change what later answers are.
 */
@FunctionalInterface
public interface StartRule {

    /** Lets every item start. */
    StartRule ANY = item -> true;

    /** Returns whether the item may start now. */
    boolean mayStart(WorkItem item);
}
