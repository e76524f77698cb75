package org.lavenderwick.daemon.fleet;

import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.random.RandomGenerator;

import io.vavr.control.Either;
import org.jboss.logging.Logger;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.store.FleetStore;
import org.lavenderwick.core.store.StoreChanges;
import org.lavenderwick.core.time.Backoff;
import org.lavenderwick.core.time.MonotonicClock;

/** Follows the store on a thread of its own: reads everything once and then waits for changes. */
final class StoreFollower implements Runnable {

    /**
     * Part of the time in which a configuration must be in force that one watch may take. A watch can miss changes
     * without a sign; the next one then finds them or learns that they are lost.
     */
    private static final int WATCHES_PER_BOUND = 2;

    /** Pause between an answer with changes and the next watch; small beside the time for a change to be known. */
    private static final Duration GATHER_TIME = Duration.ofMillis(50);

    /** The same pause while changes come in close succession, as when a whole fleet starts. */
    private static final Duration BUSY_GATHER_TIME = Duration.ofSeconds(1);

    /** Time without changes after which the next one is taken as a single one. */
    private static final Duration CALM_TIME = Duration.ofSeconds(2);

    private static final Duration FIRST_BACKOFF = Duration.ofMillis(50);
    private static final Duration LONGEST_BACKOFF = Duration.ofMillis(800);

    private static final Logger LOG = Logger.getLogger(StoreFollower.class);

    /** What was read: everything, or the changes since the last reading. */
    record Reading(boolean complete, StoreChanges changes) {}

    private final FleetStore store;
    private final Backoff backoff;
    private final BlockingQueue<Reading> readings = new LinkedBlockingQueue<>();
    private final Duration watchWait;
    private final MonotonicClock clock;
    private Duration changedAt;
    private boolean failing;
    private volatile boolean hurried;

    /**
     * Creates a follower.
     *
     * @param changeBound time in which a change must be known
     */
    StoreFollower(FleetStore store, MonotonicClock clock, Duration changeBound, RandomGenerator random) {
        this.store = store;
        this.clock = clock;
        this.watchWait = changeBound.dividedBy(WATCHES_PER_BOUND);
        this.backoff = Backoff.create(FIRST_BACKOFF, LONGEST_BACKOFF, random);
    }

    /** Returns the readings that the control thread has not taken yet. */
    BlockingQueue<Reading> readings() {
        return readings;
    }

    /** Sets whether each change is wanted at once, however many there are. May be called from any thread. */
    void hurry(boolean value) {
        hurried = value;
    }

    @Override
    public void run() {
        long revision = -1;
        while (!Thread.currentThread().isInterrupted()) {
            boolean complete = revision < 0;
            Either<Failure, StoreChanges> read = complete ? store.load() : store.awaitChanges(revision, watchWait);
            if (read.isRight()) {
                succeeded();
                revision = read.get().revision();
                if (complete || !read.get().changes().isEmpty()) {
                    readings.add(new Reading(complete, read.get()));
                    gather();
                }
            } else if (read.getLeft().kind() == ErrorKind.HISTORY_UNAVAILABLE) {
                revision = -1;
            } else if (!pauseAfter(read.getLeft())) {
                return;
            }
        }
    }

    /** Lets changes that come close together arrive in one answer. */
    private void gather() {
        Duration now = clock.now();
        boolean calm = changedAt == null || now.minus(changedAt).compareTo(CALM_TIME) > 0;
        Duration end = now.plus(calm ? GATHER_TIME : BUSY_GATHER_TIME);
        changedAt = now;
        try {
            do {
                Thread.sleep(GATHER_TIME.toMillis());
            } while (!hurried && clock.now().compareTo(end) < 0);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void succeeded() {
        backoff.reset();
        if (failing) {
            failing = false;
            LOG.info("[fleet] The store answers again.");
        }
    }

    private boolean pauseAfter(Failure failure) {
        if (!failing) {
            failing = true;
            LOG.warnf("[fleet] The store does not answer: %s.", failure.detail());
        }
        try {
            Thread.sleep(backoff.nextDelay().toMillis());
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
