package org.lavenderwick.daemon;

import java.util.concurrent.atomic.AtomicInteger;

import org.lavenderwick.core.drain.Drain;
import org.lavenderwick.daemon.group.TransactionListener;

/** A listener that counts open transactions as work in flight, so that a drain waits for them. Thread-safe. */
final class OpenTransactionCounter implements TransactionListener {
    private final Drain drain;
    private final AtomicInteger countedTransactions = new AtomicInteger();

    OpenTransactionCounter(Drain drain) {
        this.drain = drain;
    }

    @Override
    public void onOpened() {
        // Rejected only after the drain has ended, when nothing waits for transactions any more.
        if (drain.acceptContinuation().isRight()) {
            countedTransactions.incrementAndGet();
        }
    }

    @Override
    public void onEnded() {
        if (countedTransactions.getAndUpdate(count -> Math.max(0, count - 1)) > 0) {
            drain.finished();
        }
    }
}
