package org.lavenderwick.core.propagation;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.core.time.Backoff;

/** A daemon of a {@link PropagationSimulation}. */
final class SimulatedDaemon {

    private static final long STORE_TIMEOUT_MILLIS = 900;
    private static final long CONNECT_TIMEOUT_MILLIS = 400;
    private static final long HEARTBEAT_MILLIS = ChangeSources.HEARTBEAT_INTERVAL.toMillis();
    private static final long RENEWAL_MILLIS = 2000;
    private static final int BUSY_BATCH_DIVISOR = 6;

    /** Time for which a daemon counts as live after its entry was removed. */
    private static final long REMOVAL_GRACE_MILLIS = 5000;

    private final PropagationSimulation simulation;
    private final DaemonName name;
    private final FailureDomain domain;
    private final SimulatedHost host;
    private ChangeSources<DaemonName> sources;
    private ContentVersion content;
    private SimulatedStore.Content applied;
    private final Map<DaemonName, Long> missingSince = new HashMap<>();
    private Map<DaemonName, FailureDomain> peers = Map.of();
    private final Set<SimulatedDaemon> subscribers = new LinkedHashSet<>();
    private final Map<SimulatedDaemon, Long> lastArrival = new HashMap<>();
    private SimulatedDaemon feed;
    private FeedProbes probes;
    private long feedFailsAt;
    private int life;
    private boolean running;

    SimulatedDaemon(PropagationSimulation simulation, DaemonName name, FailureDomain domain) {
        this.simulation = simulation;
        this.name = name;
        this.domain = domain;
        this.host = new SimulatedHost(simulation, domain);
    }

    DaemonName name() {
        return name;
    }

    FailureDomain domain() {
        return domain;
    }

    SimulatedHost host() {
        return host;
    }

    boolean isRunning() {
        return running && !host.isFrozen();
    }

    boolean isConfigured() {
        return applied != null;
    }

    long version() {
        return applied.version();
    }

    ContentStatus status() {
        return new ContentStatus(content.revision(), content.currentAt(), "a source");
    }

    void start() {
        life++;
        running = true;
        content = ContentVersion.create();
        applied = null;
        peers = Map.of();
        missingSince.clear();
        lastArrival.clear();
        feed = null;
        Backoff backoff = Backoff.create(Duration.ofMillis(50), Duration.ofMillis(1600), simulation.random);
        List<DaemonName> seeds = simulation.daemons.subList(0, Math.min(3, simulation.daemons.size())).stream()
                .map(SimulatedDaemon::name)
                .filter(seed -> !seed.equals(name))
                .toList();
        sources = ChangeSources.create(simulation.bound(), backoff, seeds, simulation.time());
        inLife(0, this::readStore);
        inLife(0, this::readFeed);
        inLife(0, this::sendHeartbeat);
        inLife(0, this::maintainEntry);
    }

    /** Kills the process and starts it again. */
    void restart(long downMillis) {
        if (!running) {
            return;
        }
        life++;
        running = false;
        // The connections of a process that ends are closed at once.
        List.copyOf(subscribers).forEach(subscriber -> subscriber.feedEnded(this));
        subscribers.clear();
        if (feed != null) {
            feed.subscribers.remove(this);
        }
        simulation.at(simulation.now() + downMillis, this::start);
    }

    private void inLife(long delay, Runnable action) {
        int current = life;
        simulation.at(simulation.now() + delay, () -> {
            if (life != current) {
                return;
            }
            if (host.isFrozen()) {
                inLife(host.frozenUntil() - simulation.now(), action);
            } else {
                action.run();
            }
        });
    }

    private void learn(boolean complete, SimulatedStore.Content delivered, long knownAt) {
        boolean known = content.isKnown();
        if (!content.accept(complete, delivered.revision(), Duration.ofMillis(knownAt))) {
            return;
        }
        applied = delivered;
        updatePeers();
        if (known && complete) {
            // A feed ends its subscriptions when its content is replaced.
            List.copyOf(subscribers).forEach(subscriber -> subscriber.feedEnded(this));
        }
        List.copyOf(subscribers).forEach(this::sendBatch);
    }

    /** Updates the live daemons; one whose entry was removed counts as live for a while. */
    private void updatePeers() {
        Map<DaemonName, FailureDomain> live = new HashMap<>(applied.members());
        missingSince.keySet().removeAll(live.keySet());
        peers.forEach((peer, peerDomain) -> {
            if (!live.containsKey(peer)) {
                long since = missingSince.computeIfAbsent(peer, missing -> simulation.now());
                if (simulation.now() - since < REMOVAL_GRACE_MILLIS) {
                    live.put(peer, peerDomain);
                }
            }
        });
        live.put(name, domain);
        if (!live.equals(peers)) {
            peers = live;
            SourceSelection.Selection selection = SourceSelection.select(name, peers);
            sources.update(selection.role(), selection.feeds());
        }
    }

    private void maintainEntry() {
        if (host.isServed() && content.isKnown()) {
            simulation.store.renew(name, domain);
        }
        if (content.isKnown()) {
            updatePeers();
        }
        inLife(content.isKnown() ? RENEWAL_MILLIS : 100, this::maintainEntry);
    }

    private void readStore() {
        long delay = sources.storeDelay(content, simulation.time()).toMillis();
        SimulatedStore store = simulation.store;
        if (delay > 0) {
            inLife(Math.min(delay, 50), this::readStore);
            return;
        }
        store.count();
        if (!host.isServed()) {
            long wait = sources.maxStoreWait(content, simulation.time()).toMillis();
            inLife(
                    host.access == SimulatedHost.StoreAccess.BUSY ? 10 : STORE_TIMEOUT_MILLIS + wait,
                    this::onStoreFailure);
        } else if (!content.isKnown() || !store.hasHistorySince(content.revision())) {
            long sentAt = simulation.now();
            SimulatedStore.Content loaded = store.content();
            inLife(10 + simulation.random.nextInt(50) + host.delay(), () -> onStoreResponse(true, loaded, sentAt));
        } else if (content.revision() < store.content().revision() && !store.watchesHang()) {
            SimulatedStore.Content changed = store.content();
            long sentAt = simulation.now();
            inLife(4 + simulation.random.nextInt(5) + host.delay(), () -> onStoreResponse(false, changed, sentAt));
        } else {
            watch();
        }
    }

    private void watch() {
        SimulatedStore.Content before = applied;
        long wait = sources.maxStoreWait(content, simulation.time()).toMillis();
        long sentAt = simulation.now();
        boolean[] over = {false};
        int current = life;
        simulation.store.watch(() -> {
            if (!over[0] && life == current) {
                over[0] = true;
                onWatchEnded(sentAt);
            }
        });
        inLife(wait + 4 + host.delay(), () -> {
            if (!over[0] && !simulation.store.watchesHang() && simulation.store.hasHistorySince(before.revision())) {
                over[0] = true;
                onStoreResponse(false, before, sentAt + wait);
            }
        });
        inLife(wait + STORE_TIMEOUT_MILLIS, () -> {
            if (!over[0]) {
                over[0] = true;
                onStoreFailure();
            }
        });
    }

    private void onWatchEnded(long sentAt) {
        SimulatedStore.Content changed = simulation.store.content();
        boolean complete = !simulation.store.hasHistorySince(content.revision());
        inLife(host.delay(), complete ? this::readStore : () -> onStoreResponse(false, changed, sentAt));
    }

    private void onStoreFailure() {
        sources.onStoreFailure(simulation.time());
        readStore();
    }

    private void onStoreResponse(boolean complete, SimulatedStore.Content response, long knownAt) {
        if (!host.isServed()) {
            inLife(STORE_TIMEOUT_MILLIS, this::onStoreFailure);
            return;
        }
        boolean changed = complete || response.revision() > content.revision();
        learn(complete, response, knownAt);
        sources.onStoreResponse();
        inLife(changed ? simulation.bound().toMillis() / BUSY_BATCH_DIVISOR : 0, this::readStore);
    }

    private void readFeed() {
        Optional<DaemonName> selected = sources.selectFeed(content, simulation.time());
        if (selected.isEmpty()) {
            inLife(100, this::readFeed);
            return;
        }
        SimulatedDaemon source = simulation.daemon(selected.get());
        if (!simulation.reaches(this, source) || !simulation.reaches(source, this) || source.host.isFrozen()) {
            inLife(CONNECT_TIMEOUT_MILLIS, () -> onFeedFailed(source));
            return;
        }
        Duration subscribedAt = simulation.time();
        inLife(5 + simulation.random.nextInt(40), () -> {
            if (!source.running || source.content == null || !source.content.isKnown()) {
                onFeedFailed(source);
            } else {
                source.subscribers.add(this);
                lastArrival.remove(source);
                feedFailsAt = simulation.now()
                        + sources.feedTimeout(content, simulation.time()).toMillis();
                feed = source;
                probes = simulation.datesByArrival() ? FeedProbes.unsupported() : FeedProbes.create(subscribedAt);
                source.sendBatch(this);
                superviseFeed(source);
            }
        });
    }

    private void superviseFeed(SimulatedDaemon source) {
        if (feed != source) {
            return;
        }
        if (simulation.now() > feedFailsAt) {
            leave(source);
            onFeedFailed(source);
        } else if (!sources.isPreferred(source.name, content, simulation.time())) {
            leave(source);
            sources.onFeedClosed(simulation.time());
            readFeed();
        } else {
            inLife(100, () -> superviseFeed(source));
        }
    }

    private void feedEnded(SimulatedDaemon source) {
        if (feed == source && simulation.reaches(source, this)) {
            leave(source);
            inLife(1, () -> onFeedFailed(source));
        }
    }

    private void leave(SimulatedDaemon source) {
        source.subscribers.remove(this);
        feed = null;
    }

    private void onFeedFailed(SimulatedDaemon source) {
        sources.onFeedFailed(source.name, simulation.time());
        readFeed();
    }

    private void sendHeartbeat() {
        if (content.isKnown()) {
            List.copyOf(subscribers).forEach(this::sendBatch);
        }
        inLife(HEARTBEAT_MILLIS, this::sendHeartbeat);
    }

    /** Sends the content as of now to a subscriber. */
    private void sendBatch(SimulatedDaemon subscriber) {
        SimulatedStore.Content sent = applied;
        Duration age = simulation.time().minus(content.currentAt());
        FeedProbes connection = subscriber.probes;
        send(subscriber, () -> {
            if (subscriber.feed == this && subscriber.probes == connection) {
                subscriber.onBatch(this, sent, age, age);
            }
        });
    }

    /** Sends a message over a connection, which keeps the order; it is lost if the link is cut. */
    private void send(SimulatedDaemon receiver, Runnable onArrival) {
        if (!simulation.reaches(this, receiver)) {
            return;
        }
        Random random = simulation.random;
        long delay = 3 + (random.nextInt(10) == 0 ? random.nextInt(150) : random.nextInt(20));
        long arrival = Math.max(
                simulation.now() + delay + host.delay() + receiver.host.delay(),
                receiver.lastArrival.getOrDefault(this, 0L));
        receiver.lastArrival.put(this, arrival);
        receiver.inLife(arrival - simulation.now(), onArrival);
    }

    private void onBatch(SimulatedDaemon source, SimulatedStore.Content delivered, Duration age, Duration oldest) {
        learn(true, delivered, probes.knownAt(age, simulation.time()).toMillis());
        feedFailsAt = simulation.now()
                + sources.feedTimeout(content, simulation.time()).toMillis();
        if (!sources.onFeedBatch(source.name, oldest)) {
            if (sources.canOffer(content, simulation.time())) {
                send(source, () -> source.sources.onOffer(name, source.content, simulation.time()));
            }
            leave(source);
            onFeedFailed(source);
        } else if (probes.isDue(simulation.time())) {
            long number = probes.next(simulation.time());
            FeedProbes connection = probes;
            send(source, () -> source.answerProbe(this, connection, number));
        }
    }

    private void answerProbe(SimulatedDaemon subscriber, FeedProbes connection, long number) {
        if (!content.isKnown()) {
            return;
        }
        SimulatedStore.Content sent = applied;
        Duration age = simulation.time().minus(content.currentAt());
        send(subscriber, () -> {
            if (subscriber.feed == this && subscriber.probes == connection && connection.onAnswer(number)) {
                Duration now = simulation.time();
                subscriber.onBatch(this, sent, age, now.minus(subscriber.probes.knownAt(age, now)));
            }
        });
    }
}
