package org.lavenderwick.daemon;

import java.util.concurrent.atomic.AtomicInteger;

import org.lavenderwick.core.drain.Drain;
import org.lavenderwick.daemon.group.TransactionListener;

/** Counts open transactions as work in flight, so that a drain waits for them. Thread-safe. */
final class OpenTransactionCount implements TransactionListener {
    private final Drain drain;
    private final AtomicInteger counted = new AtomicInteger();

    OpenTransactionCount(Drain drain) {
        this.drain = drain;
    }

    @Override
    public void onOpened() {
        // Refused only after the drain has reached its bound, when nothing waits for transactions any more.
        if (drain.acceptContinuation().isRight()) {
            counted.incrementAndGet();
        }
    }

    @Override
    public void onEnded() {
        if (counted.getAndUpdate(count -> Math.max(0, count - 1)) > 0) {
            drain.finished();
        }
    }
}
