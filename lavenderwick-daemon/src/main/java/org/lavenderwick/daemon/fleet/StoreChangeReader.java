package org.lavenderwick.daemon.fleet;

import java.time.Duration;

import io.vavr.control.Either;
import org.jboss.logging.Logger;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.propagation.ContentVersion;
import org.lavenderwick.core.store.FleetStore;
import org.lavenderwick.core.store.StoreChanges;
import org.lavenderwick.core.time.MonotonicClock;

/**
 * The task of the thread that reads changes from the store itself, whenever the inbox says that this is due. It reads
 * the entire content once and then waits for changes.
 */
final class StoreChangeReader implements Runnable {

    /**
     * The maximum change delay is divided by this to get the time for which changes in quick succession are batched.
     * Such changes are typical when a whole fleet starts.
     */
    private static final int BUSY_BATCH_TIME_DIVISOR = 6;

    /** Time between a response with changes and the next watch; short compared to the maximum change delay. */
    private static final Duration BATCH_TIME = Duration.ofMillis(50);

    /** Time without changes after which the next change is assumed to be a single one. */
    private static final Duration QUIET_TIME = Duration.ofSeconds(2);

    /** Delay after an unexpected error, so that one that repeats does not keep the processor busy. */
    private static final Duration ERROR_DELAY = Duration.ofMillis(500);

    private static final Logger LOG = Logger.getLogger(StoreChangeReader.class);

    private final FleetStore store;
    private final ChangeInbox inbox;
    private final MonotonicClock clock;
    private final Duration busyBatchTime;
    private boolean historyLost;
    private Duration lastChangeAt;
    private volatile boolean immediate;

    /**
     * Creates a reader.
     *
     * @param maxChangeDelay time within which a change in the store must be read
     */
    StoreChangeReader(FleetStore store, ChangeInbox inbox, MonotonicClock clock, Duration maxChangeDelay) {
        this.store = store;
        this.inbox = inbox;
        this.clock = clock;
        this.busyBatchTime = maxChangeDelay.dividedBy(BUSY_BATCH_TIME_DIVISOR);
    }

    /** Sets whether changes are read without long batching, however many there are. May be called from any thread. */
    void deliverImmediately(boolean value) {
        immediate = value;
    }

    @Override
    public void run() {
        while (!Thread.currentThread().isInterrupted()) {
            try {
                inbox.awaitStoreRead();
                readStore();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (RuntimeException e) {
                LOG.errorf(e, "[fleet] Reading changes from the store failed unexpectedly; trying again.");
                pause(ERROR_DELAY);
            }
        }
    }

    /** Calls the store once and delivers the result. */
    private void readStore() {
        // A feed may have delivered later changes than the last call to the store; the watch continues after those.
        long known = inbox.revision();
        boolean complete = known == ContentVersion.NONE || historyLost;
        Duration wait = complete ? Duration.ZERO : inbox.maxStoreWait();
        Duration sentAt = clock.now();
        // A watch can miss changes without an error, and a later one returns them or fails because the store no longer
        // has them. So each is short.
        Either<Failure, StoreChanges> read = complete ? store.load() : store.awaitChanges(known, wait);
        if (read.isRight()) {
            historyLost = false;
            if (complete) {
                inbox.deliverContent(read.get(), sentAt);
            } else {
                inbox.deliverWatch(read.get(), sentAt, wait);
            }
            if (complete || !read.get().changes().isEmpty()) {
                waitForMoreChanges();
            }
        } else if (read.getLeft().kind() == ErrorKind.HISTORY_UNAVAILABLE) {
            historyLost = true;
        } else if (!Thread.currentThread().isInterrupted()) {
            // Otherwise the daemon has broken off the call itself.
            inbox.onStoreFailure(read.getLeft().detail());
        }
    }

    /** Waits before the next call to the store, so that it returns changes in quick succession together. */
    private void waitForMoreChanges() {
        Duration now = clock.now();
        boolean quiet = lastChangeAt == null || now.minus(lastChangeAt).compareTo(QUIET_TIME) > 0;
        Duration end = now.plus(quiet ? BATCH_TIME : busyBatchTime);
        lastChangeAt = now;
        do {
            pause(BATCH_TIME);
        } while (!immediate
                && clock.now().compareTo(end) < 0
                && !Thread.currentThread().isInterrupted());
    }

    private static void pause(Duration duration) {
        try {
            Thread.sleep(duration.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
