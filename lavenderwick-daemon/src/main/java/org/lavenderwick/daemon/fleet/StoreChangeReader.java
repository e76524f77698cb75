package org.lavenderwick.daemon.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;

import io.vavr.control.Either;
import org.jboss.logging.Logger;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.store.FleetStore;
import org.lavenderwick.core.store.StoreChanges;
import org.lavenderwick.core.time.Backoff;
import org.lavenderwick.core.time.MonotonicClock;
import org.lavenderwick.daemon.session.TrafficThread;

/**
 * The task of the thread that reads the store. It reads the entire content once and then waits for changes, either from
 * the store itself or from a peer that watches the store. A peer whose content is too old is not used.
 */
final class StoreChangeReader implements Runnable {

    /**
     * The maximum change delay is divided by this to get the timeout of a watch, which is one call that waits for
     * changes. A watch can miss changes without an error; the next one then returns them or fails because the store no
     * longer has them.
     */
    private static final int WATCH_TIMEOUT_DIVISOR = 2;

    /**
     * The maximum change delay is divided by this to get the time for which changes in quick succession are batched.
     * Such changes are typical when a whole fleet starts.
     */
    private static final int BUSY_BATCH_TIME_DIVISOR = 6;

    /**
     * The maximum change delay is multiplied by this to get the age above which the content of a peer is too old. The
     * result is longer than a watch and the batching after it take together.
     */
    private static final double MAX_PEER_AGE_FACTOR = 0.75;

    /** Time between a response with changes and the next watch; short compared to the maximum change delay. */
    private static final Duration BATCH_TIME = Duration.ofMillis(50);

    /** Time without changes after which the next change is assumed to be a single one. */
    private static final Duration QUIET_TIME = Duration.ofSeconds(2);

    /**
     * Time for which a failed peer is not selected again, and for which any other daemon is used while the store is
     * unreachable. Longer than the timeout of a watch.
     */
    private static final Duration PEER_PERIOD = Duration.ofSeconds(5);

    /**
     * Time by which the content of a randomly selected daemon must be more recent than the local content. Longer than
     * the delay of a feed between two daemons.
     */
    private static final Duration MIN_AGE_ADVANTAGE = Duration.ofMillis(200);

    /**
     * Daemons to read from before the store is tried again. If a third of the fleet has no access to the store, at
     * least one of these daemons most likely has.
     */
    private static final int MAX_DAEMONS_TRIED = 3;

    private static final Duration MIN_BACKOFF = Duration.ofMillis(50);
    private static final Duration MAX_BACKOFF = Duration.ofMillis(800);

    private static final Logger LOG = Logger.getLogger(StoreChangeReader.class);

    /**
     * Changes that were read from the store or from a peer.
     *
     * @param complete whether the changes are the entire content rather than those since the last update
     */
    record Update(boolean complete, StoreChanges changes) {}

    private final FleetStore store;
    private final MonotonicClock clock;
    private final TrafficThread traffic;
    private final RandomGenerator random;
    private final Backoff backoff;
    private final BlockingQueue<Update> updates = new LinkedBlockingQueue<>();
    private final Duration watchTimeout;
    private final Duration busyBatchTime;
    private final Duration maxPeerAge;
    private final List<InetSocketAddress> seeds;
    private long revision = -1;
    private Duration currentSince = Duration.ofSeconds(Long.MIN_VALUE);
    private int consecutiveFailures;
    private Duration lastChangeAt;
    private final Map<InetSocketAddress, Duration> excludedUntil = new HashMap<>();
    private volatile boolean immediate;
    private volatile List<InetSocketAddress> watchers = List.of();
    private volatile List<InetSocketAddress> otherDaemons = List.of();

    /**
     * Creates a reader.
     *
     * @param seeds addresses of daemons to read from if the store is unreachable and no other daemons are known
     * @param maxChangeDelay time within which a change in the store must be read
     */
    StoreChangeReader(
            FleetStore store,
            MonotonicClock clock,
            TrafficThread traffic,
            List<InetSocketAddress> seeds,
            Duration maxChangeDelay,
            RandomGenerator random) {
        this.store = store;
        this.clock = clock;
        this.traffic = traffic;
        this.seeds = List.copyOf(seeds);
        this.watchTimeout = maxChangeDelay.dividedBy(WATCH_TIMEOUT_DIVISOR);
        this.busyBatchTime = maxChangeDelay.dividedBy(BUSY_BATCH_TIME_DIVISOR);
        this.maxPeerAge = Duration.ofMillis((long) (maxChangeDelay.toMillis() * MAX_PEER_AGE_FACTOR));
        this.random = random;
        this.backoff = Backoff.create(MIN_BACKOFF, MAX_BACKOFF, random);
    }

    /** Returns the queue of updates that the control thread has not processed yet. */
    BlockingQueue<Update> updates() {
        return updates;
    }

    /** Sets whether changes are read without long batching, however many there are. May be called from any thread. */
    void deliverImmediately(boolean value) {
        immediate = value;
    }

    /**
     * Sets the daemons to read changes from. May be called from any thread.
     *
     * @param newWatchers the watchers to subscribe to, the preferred one first; empty to watch the store
     * @param newOthers all other daemons, which are used if the store is unreachable
     */
    void setPeers(List<InetSocketAddress> newWatchers, List<InetSocketAddress> newOthers) {
        watchers = newWatchers;
        otherDaemons = newOthers;
    }

    @Override
    public void run() {
        while (!Thread.currentThread().isInterrupted()) {
            Optional<InetSocketAddress> peer = revision < 0 ? Optional.empty() : selectWatcher();
            if (peer.isPresent()) {
                readPeer(peer.get(), Duration.ZERO, () -> watchers.contains(peer.get()));
            } else if (!readStore()) {
                return;
            }
        }
    }

    /** Returns the watcher to subscribe to; empty if this daemon should watch the store itself. */
    private Optional<InetSocketAddress> selectWatcher() {
        Duration now = clock.now();
        excludedUntil.values().removeIf(until -> until.compareTo(now) <= 0);
        return watchers.stream()
                .filter(peer -> !excludedUntil.containsKey(peer))
                .findFirst();
    }

    /** Calls the store once and publishes the result; returns false if the thread was interrupted. */
    private boolean readStore() {
        boolean complete = revision < 0;
        Either<Failure, StoreChanges> read = complete ? store.load() : store.awaitChanges(revision, watchTimeout);
        if (read.isRight()) {
            onStoreResponse();
            publish(complete, read.get(), Duration.ZERO);
            if (complete || !read.get().changes().isEmpty()) {
                waitForMoreChanges();
            }
        } else if (read.getLeft().kind() == ErrorKind.HISTORY_UNAVAILABLE) {
            revision = -1;
        } else {
            return onStoreFailure(read.getLeft());
        }
        return true;
    }

    /** Forwards changes to the subscribers of this daemon and to the control thread. */
    private void publish(boolean complete, StoreChanges changes, Duration age) {
        if (revision < 0 && !age.isZero()) {
            LOG.infof("[fleet] Read the store content of %d ms ago from another daemon.", age.toMillis());
        }
        revision = changes.revision();
        Duration contentTime = clock.now().minus(age);
        currentSince = contentTime.compareTo(currentSince) > 0 ? contentTime : currentSince;
        traffic.publishStoreChanges(complete, changes, currentSince);
        if (complete || !changes.changes().isEmpty()) {
            updates.add(new Update(complete, changes));
        }
    }

    /**
     * Reads changes from a peer until the condition is false, the feed fails, or the content of the peer is too old. A
     * batch that is too old is still published if its revision is higher than the local one.
     *
     * @param minAdvantage time by which the first batch must be more recent than the local content; zero for no check
     * @return whether at least one batch was recent enough
     */
    private boolean readPeer(InetSocketAddress peer, Duration minAdvantage, BooleanSupplier condition) {
        Duration requiredAdvantage = minAdvantage;
        boolean useful = false;
        try (PeerFeed feed = PeerFeed.open(peer, revision, store::decode)) {
            while (condition.getAsBoolean() && !Thread.currentThread().isInterrupted()) {
                PeerFeed.Batch batch = feed.nextBatch();
                boolean tooOld = isTooOld(batch, requiredAdvantage);
                if (batch.changes().revision() < revision) {
                    throw new IOException("its revision is lower than the local one");
                } else if (batch.changes().revision() > revision || !tooOld) {
                    publish(batch.complete(), batch.changes(), batch.age());
                }
                if (tooOld) {
                    throw new IOException("its content is too old");
                }
                requiredAdvantage = Duration.ZERO;
                useful = true;
            }
        } catch (IOException e) {
            LOG.debugf("[fleet] Stopped reading store changes from the peer at %s: %s.", peer, e.getMessage());
            excludedUntil.put(peer, clock.now().plus(PEER_PERIOD));
        }
        return useful;
    }

    private boolean isTooOld(PeerFeed.Batch batch, Duration minAdvantage) {
        boolean recentEnough =
                minAdvantage.isZero() || clock.now().minus(batch.age()).compareTo(currentSince.plus(minAdvantage)) >= 0;
        return !recentEnough || batch.age().compareTo(maxPeerAge) > 0;
    }

    /** Reads changes from another daemon for a while, as the store is unreachable from here. */
    private void readOtherDaemons() {
        List<InetSocketAddress> candidates = new ArrayList<>(otherDaemons.isEmpty() ? seeds : otherDaemons);
        // Daemons without access to the store may read from each other. Only content from a daemon with access is
        // more recent by the minimum advantage.
        for (int attempt = 0; attempt < MAX_DAEMONS_TRIED && !candidates.isEmpty(); attempt++) {
            InetSocketAddress peer = candidates.remove(random.nextInt(candidates.size()));
            Duration end = clock.now().plus(PEER_PERIOD);
            if (readPeer(peer, MIN_AGE_ADVANTAGE, () -> clock.now().compareTo(end) < 0)) {
                return;
            }
        }
    }

    /** Waits before the next call to the store, so that it returns changes in quick succession together. */
    private void waitForMoreChanges() {
        Duration now = clock.now();
        boolean quiet = lastChangeAt == null || now.minus(lastChangeAt).compareTo(QUIET_TIME) > 0;
        Duration end = now.plus(quiet ? BATCH_TIME : busyBatchTime);
        lastChangeAt = now;
        try {
            do {
                Thread.sleep(BATCH_TIME.toMillis());
            } while (!immediate && clock.now().compareTo(end) < 0);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void onStoreResponse() {
        backoff.reset();
        if (consecutiveFailures > 0) {
            consecutiveFailures = 0;
            LOG.info("[fleet] The store responds again; reading changes from it.");
        }
    }

    private boolean onStoreFailure(Failure failure) {
        if (consecutiveFailures == 0) {
            traffic.closeFeed();
            LOG.warnf(
                    "[fleet] The store does not respond; reading changes from other daemons until it does: %s",
                    failure.detail());
        }
        consecutiveFailures++;
        readOtherDaemons();
        try {
            Thread.sleep(backoff.nextDelay().toMillis());
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
