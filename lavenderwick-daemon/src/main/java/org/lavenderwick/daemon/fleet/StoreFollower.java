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
 * Follows the store on a thread of its own: reads everything once and then waits for changes, of the store itself or of
 * a peer that watches it. Knowledge of a peer that has grown old is not relied on.
 */
final class StoreFollower implements Runnable {

    /**
     * Part of the time in which a configuration must be in force that one watch may take. A watch can miss changes
     * without a sign; the next one then finds them or learns that they are lost.
     */
    private static final int WATCHES_PER_BOUND = 2;

    /** Part of the same time for which changes in close succession, as when a whole fleet starts, are gathered. */
    private static final int GATHERINGS_PER_BOUND = 6;

    /** Part of the same time after which the knowledge of a peer is too old: more than a watch and a gathering take. */
    private static final double MAX_PEER_AGE_PER_BOUND = 0.75;

    /** Pause between an answer with changes and the next watch; small beside the time for a change to be known. */
    private static final Duration GATHER_TIME = Duration.ofMillis(50);

    /** Time without changes after which the next one is taken as a single one. */
    private static final Duration CALM_TIME = Duration.ofSeconds(2);

    /** Time for which a peer that failed is not followed, and any other one is; longer than a watch. */
    private static final Duration PEER_PAUSE = Duration.ofSeconds(5);

    /** Lead in age that a daemon asked at random must have; more than a feed takes between daemons. */
    private static final Duration MIN_LEAD = Duration.ofMillis(200);

    /** Daemons asked before the store is tried again; with a third of a fleet refused, one of them is not. */
    private static final int MAX_ASKED = 3;

    private static final Duration FIRST_BACKOFF = Duration.ofMillis(50);
    private static final Duration LONGEST_BACKOFF = Duration.ofMillis(800);

    private static final Logger LOG = Logger.getLogger(StoreFollower.class);

    /** What was read: everything, or the changes since the last reading. */
    record Reading(boolean complete, StoreChanges changes) {}

    private final FleetStore store;
    private final MonotonicClock clock;
    private final TrafficThread traffic;
    private final RandomGenerator random;
    private final Backoff backoff;
    private final BlockingQueue<Reading> readings = new LinkedBlockingQueue<>();
    private final Duration watchWait;
    private final Duration busyGatherTime;
    private final Duration maxPeerAge;
    private final List<InetSocketAddress> seeds;
    private long revision = -1;
    private Duration currentAt = Duration.ofSeconds(Long.MIN_VALUE);
    private int failures;
    private Duration changedAt;
    private final Map<InetSocketAddress, Duration> avoidedUntil = new HashMap<>();
    private volatile boolean hurried;
    private volatile List<InetSocketAddress> watchers = List.of();
    private volatile List<InetSocketAddress> others = List.of();

    /**
     * Creates a follower.
     *
     * @param seeds daemons that are asked while the store does not answer and nothing is known yet
     * @param changeBound time in which a change must be known
     */
    StoreFollower(
            FleetStore store,
            MonotonicClock clock,
            TrafficThread traffic,
            List<InetSocketAddress> seeds,
            Duration changeBound,
            RandomGenerator random) {
        this.store = store;
        this.clock = clock;
        this.traffic = traffic;
        this.seeds = List.copyOf(seeds);
        this.watchWait = changeBound.dividedBy(WATCHES_PER_BOUND);
        this.busyGatherTime = changeBound.dividedBy(GATHERINGS_PER_BOUND);
        this.maxPeerAge = Duration.ofMillis((long) (changeBound.toMillis() * MAX_PEER_AGE_PER_BOUND));
        this.random = random;
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

    /**
     * Sets which peers this daemon learns from. May be called from any thread.
     *
     * @param newWatchers the peers to follow, the first one preferred; none to watch the store
     * @param newOthers all other daemons, which are asked when the store does not answer
     */
    void peers(List<InetSocketAddress> newWatchers, List<InetSocketAddress> newOthers) {
        watchers = newWatchers;
        others = newOthers;
    }

    @Override
    public void run() {
        while (!Thread.currentThread().isInterrupted()) {
            Optional<InetSocketAddress> peer = revision < 0 ? Optional.empty() : nextPeer();
            if (peer.isPresent()) {
                follow(peer.get(), Duration.ZERO, () -> watchers.contains(peer.get()));
            } else if (!watchStore()) {
                return;
            }
        }
    }

    /** Returns the watcher to follow; empty if this daemon is to watch the store. */
    private Optional<InetSocketAddress> nextPeer() {
        Duration now = clock.now();
        avoidedUntil.values().removeIf(until -> until.compareTo(now) <= 0);
        return watchers.stream().filter(peer -> !avoidedUntil.containsKey(peer)).findFirst();
    }

    /** Asks the store once; returns false if the thread was interrupted. */
    private boolean watchStore() {
        boolean complete = revision < 0;
        Either<Failure, StoreChanges> read = complete ? store.load() : store.awaitChanges(revision, watchWait);
        if (read.isRight()) {
            succeeded();
            publish(complete, read.get(), Duration.ZERO);
            if (complete || !read.get().changes().isEmpty()) {
                gather();
            }
        } else if (read.getLeft().kind() == ErrorKind.HISTORY_UNAVAILABLE) {
            revision = -1;
        } else {
            return pauseAfter(read.getLeft());
        }
        return true;
    }

    private void publish(boolean complete, StoreChanges changes, Duration age) {
        if (revision < 0 && !age.isZero()) {
            LOG.infof("[fleet] Another daemon tells what the store held %d ms ago.", age.toMillis());
        }
        revision = changes.revision();
        Duration since = clock.now().minus(age);
        currentAt = since.compareTo(currentAt) > 0 ? since : currentAt;
        traffic.publishStoreChanges(complete, changes, currentAt);
        if (complete || !changes.changes().isEmpty()) {
            readings.add(new Reading(complete, changes));
        }
    }

    /**
     * Follows a peer as long as the condition holds and its knowledge is young, or newer than what is known here.
     *
     * @param lead by how much the knowledge of the peer must be younger at first than the knowledge here
     * @return whether the peer was of use
     */
    private boolean follow(InetSocketAddress peer, Duration lead, BooleanSupplier condition) {
        Duration required = lead;
        boolean useful = false;
        try (PeerFeed feed = PeerFeed.open(peer, revision, store::decode)) {
            while (condition.getAsBoolean() && !Thread.currentThread().isInterrupted()) {
                PeerFeed.Batch batch = feed.next();
                boolean old = isOld(batch, required);
                if (batch.changes().revision() < revision) {
                    throw new IOException("it knows less");
                } else if (batch.changes().revision() > revision || !old) {
                    publish(batch.complete(), batch.changes(), batch.age());
                }
                if (old) {
                    throw new IOException("its knowledge is too old");
                }
                required = Duration.ZERO;
                useful = true;
            }
        } catch (IOException e) {
            LOG.debugf("[fleet] The peer at %s is not followed: %s.", peer, e.getMessage());
            avoidedUntil.put(peer, clock.now().plus(PEER_PAUSE));
        }
        return useful;
    }

    private boolean isOld(PeerFeed.Batch batch, Duration lead) {
        boolean leads = lead.isZero() || clock.now().minus(batch.age()).compareTo(currentAt.plus(lead)) >= 0;
        return !leads || batch.age().compareTo(maxPeerAge) > 0;
    }

    /** Learns from another daemon for a while, as the store does not answer here. */
    private void askOthers() {
        List<InetSocketAddress> known = new ArrayList<>(others.isEmpty() ? seeds : others);
        // Daemons that the store refuses may learn from each other; only knowledge from outside is younger.
        for (int asked = 0; asked < MAX_ASKED && !known.isEmpty(); asked++) {
            InetSocketAddress peer = known.remove(random.nextInt(known.size()));
            Duration end = clock.now().plus(PEER_PAUSE);
            if (follow(peer, MIN_LEAD, () -> clock.now().compareTo(end) < 0)) {
                return;
            }
        }
    }

    /** Lets changes that come close together arrive in one answer. */
    private void gather() {
        Duration now = clock.now();
        boolean calm = changedAt == null || now.minus(changedAt).compareTo(CALM_TIME) > 0;
        Duration end = now.plus(calm ? GATHER_TIME : busyGatherTime);
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
        if (failures > 0) {
            failures = 0;
            LOG.info("[fleet] The store answers again.");
        }
    }

    private boolean pauseAfter(Failure failure) {
        if (failures == 0) {
            traffic.closeFeed();
            LOG.warnf("[fleet] The store does not answer: %s.", failure.detail());
        }
        failures++;
        askOthers();
        try {
            Thread.sleep(backoff.nextDelay().toMillis());
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
