package org.lavenderwick.daemon.group;

/** A listener that is notified when transactions open and end, so that a drain can wait for them. Thread-safe. */
public interface TransactionListener {
    /** Called after a transaction was opened. */
    void onOpened();

    /** Called after an open transaction was committed, rolled back or aborted. */
    void onEnded();
}
