package org.lavenderwick.daemon.group;

/** Learns when transactions open and end, so that a drain waits for them. Thread-safe. */
public interface TransactionListener {
    /** A transaction was opened. */
    void onOpened();

    /** A transaction ended. */
    void onEnded();
}
