package org.lavenderwick.core.propagation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.core.store.EraRevision;
import org.lavenderwick.core.time.Backoff;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks in simulated time that a change of the configuration reaches every daemon within the bound, while the store
 * leaves a third of the daemons without a response, watchers among them, and after the store has come back from a copy.
 * The daemons use the decisions of this package over a simulated network; the store, the feeds and the faults are
 * simulated.
 */
class PropagationBoundTest {

    private static final Duration BOUND = Duration.ofSeconds(3);
    private static final long BOUND_MILLIS = BOUND.toMillis();

    private static final int DEFAULT_SEEDS = 40;

    /** Start of the refusals and of the storm of changes; the fleet has settled by then. */
    private static final long FAULTS_FROM = 6000;

    private static final long FAULTS_UNTIL = 16000;

    /** Time after which the operator writes again what the store has lost. */
    private static final long REWRITE_MILLIS = 500;

    private static final long STORE_TIMEOUT_MILLIS = 900;
    private static final long CONNECT_TIMEOUT_MILLIS = 400;
    private static final long HEARTBEAT_MILLIS = ChangeSources.HEARTBEAT_INTERVAL.toMillis();
    private static final long BUSY_BATCH_MILLIS = BOUND_MILLIS / 6;

    @Test
    void changeReachesEveryDaemonInTimeWhileTheStoreRefusesAThird() {
        for (int seed = 0; seed < Integer.getInteger("lavenderwick.propagation.seeds", DEFAULT_SEEDS); seed++) {
            Simulation simulation = new Simulation(seed);
            simulation.run();
            assertThat(simulation.worstDelay)
                    .as("seed %d: delay of the change at %d ms at %s", seed, simulation.worstAt, simulation.worstDaemon)
                    .isLessThanOrEqualTo(BOUND_MILLIS);
        }
    }

    /** Guards against content that is not replaced while the revisions are below those from before the return. */
    @Test
    void changeReachesEveryDaemonInTimeAfterTheStoreHasComeBackFromACopy() {
        for (int seed = 0; seed < Integer.getInteger("lavenderwick.propagation.seeds", DEFAULT_SEEDS); seed++) {
            Simulation simulation = new Simulation(seed);
            simulation.restores = true;
            simulation.run();
            assertThat(simulation.worstDelay)
                    .as("seed %d: delay of the change at %d ms at %s", seed, simulation.worstAt, simulation.worstDaemon)
                    .isLessThanOrEqualTo(BOUND_MILLIS);
            assertThat(simulation.newestVersions()).as("seed %d", seed).containsOnly(simulation.version());
        }
    }

    /** The guard of the design: without eras, a daemon with content from before the return misses the bound. */
    @Test
    void plainRevisionsMissTheBoundAfterTheStoreHasComeBackFromACopy() {
        long missed = 0;
        for (int seed = 0; seed < 3; seed++) {
            Simulation simulation = new Simulation(seed);
            simulation.restores = true;
            simulation.withoutEras = true;
            simulation.run();
            missed += simulation.newestVersions().stream()
                            .filter(version -> version != simulation.version())
                            .count()
                    + (simulation.worstDelay > BOUND_MILLIS ? 1 : 0);
        }
        assertThat(missed).isPositive();
    }

    /** The guard of the design: a daemon that reads only one source after the other misses the bound. */
    @Test
    void refusedDaemonWithoutAFeedBesideTheStoreMissesTheBound() {
        long worst = 0;
        for (int seed = 0; seed < 3; seed++) {
            Simulation simulation = new Simulation(seed);
            simulation.withoutFeeds = true;
            simulation.run();
            worst = Math.max(worst, simulation.worstDelay);
        }
        assertThat(worst).isGreaterThan(BOUND_MILLIS);
    }

    /** A store, daemons that read from it and from each other, and a queue of events in simulated time. */
    private static final class Simulation {

        private record Event(long at, long order, Runnable action) {}

        private final Random random;
        private final PriorityQueue<Event> events =
                new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
        private final Map<DaemonName, FailureDomain> domains = new HashMap<>();
        private final List<Daemon> daemons = new ArrayList<>();
        private final Map<DaemonName, Daemon> byName = new HashMap<>();
        private final Set<String> cutLinks = new HashSet<>();
        private final List<Long> changeTimes = new ArrayList<>();
        private boolean withoutFeeds;
        private boolean restores;
        private boolean withoutEras;
        private long era = EraRevision.FIRST_ERA;
        private long plainRevision;
        private long storedVersion;
        private final List<Long> countFrom = new ArrayList<>();
        private long now;
        private long eventCount;
        private long worstDelay;
        private long worstAt;
        private DaemonName worstDaemon;

        private Simulation(long seed) {
            random = new Random(seed);
            int size = 6 + random.nextInt(90);
            int domainCount = 2 + random.nextInt(4);
            for (int index = 0; index < size; index++) {
                domains.put(DaemonName.of("d" + index), FailureDomain.of("z" + index % domainCount));
            }
            domains.keySet().stream().sorted().forEach(name -> {
                Daemon daemon = new Daemon(name);
                daemons.add(daemon);
                byName.put(name, daemon);
            });
        }

        private long revision() {
            return EraRevision.of(withoutEras ? EraRevision.FIRST_ERA : era, plainRevision);
        }

        /** Returns the version of the newest configuration, which the store may have lost. */
        private long version() {
            return changeTimes.size();
        }

        private List<Long> newestVersions() {
            return daemons.stream().map(daemon -> daemon.version).toList();
        }

        private void at(long time, Runnable action) {
            events.add(new Event(time, eventCount++, action));
        }

        private void run() {
            daemons.forEach(daemon -> at(random.nextInt(300), daemon::start));
            List<Daemon> refused = new ArrayList<>(daemons);
            Collections.shuffle(refused, random);
            refused = refused.subList(0, daemons.size() / 3);
            List<Daemon> hanging = refused;
            at(FAULTS_FROM, () -> hanging.forEach(daemon -> daemon.refused = true));
            at(FAULTS_UNTIL, () -> hanging.forEach(daemon -> daemon.refused = false));
            long change = 1000;
            while (change < FAULTS_UNTIL + 2000) {
                at(change, this::changeStore);
                boolean storm = change > FAULTS_FROM && random.nextInt(4) > 0;
                change += storm ? 100 + random.nextInt(400) : 500 + random.nextInt(3000);
            }
            cutSomeLinks(hanging);
            for (int drill = 0; restores && drill < 2; drill++) {
                at(FAULTS_FROM + random.nextInt((int) (FAULTS_UNTIL - FAULTS_FROM)), this::restore);
            }
            for (int restart = 0; restart < 3; restart++) {
                Daemon daemon = daemons.get(random.nextInt(daemons.size()));
                at(FAULTS_FROM + random.nextInt(8000), daemon::restart);
            }
            while (!events.isEmpty() && now < FAULTS_UNTIL + 2000 + BOUND_MILLIS) {
                Event event = events.remove();
                now = event.at;
                event.action.run();
            }
        }

        /**
         * Cuts links in one direction: from a few daemons with access to the store to all others, and from a few
         * without access to a fifth of the others. A daemon without the store and without any link cannot learn of
         * changes, and is not in touch by any definition.
         */
        private void cutSomeLinks(List<Daemon> hanging) {
            int cuts = 1 + daemons.size() / 20;
            for (int cut = 0; cut < cuts; cut++) {
                Daemon from = daemons.get(random.nextInt(daemons.size()));
                int oneOf = hanging.contains(from) ? 5 : 1;
                at(
                        FAULTS_FROM + random.nextInt(6000),
                        () -> daemons.stream()
                                .filter(to -> random.nextInt(oneOf) == 0)
                                .forEach(to -> cutLinks.add(from.name + ">" + to.name)));
            }
        }

        private boolean reaches(Daemon from, Daemon to) {
            return !cutLinks.contains(from.name + ">" + to.name);
        }

        private void changeStore() {
            changeTimes.add(now);
            countFrom.add(now);
            writeNewestVersion();
        }

        /** Brings the store back from a copy that lacks some of the changes; the operator writes the newest again. */
        private void restore() {
            long lost = Math.min(plainRevision, 1 + random.nextInt(40));
            plainRevision -= lost;
            storedVersion = Math.max(0, storedVersion - lost);
            era++;
            // A change that was lost before it had to be in force counts from the operator's second write.
            for (int change = (int) storedVersion; change < changeTimes.size(); change++) {
                if (changeTimes.get(change) + BOUND_MILLIS > now) {
                    countFrom.set(change, now + REWRITE_MILLIS);
                }
            }
            at(now + REWRITE_MILLIS, this::writeNewestVersion);
        }

        private void writeNewestVersion() {
            plainRevision++;
            storedVersion = version();
            for (Daemon daemon : daemons) {
                if (daemon.waiting != null) {
                    Runnable answer = daemon.waiting;
                    daemon.waiting = null;
                    at(now + 4 + random.nextInt(5), answer);
                }
            }
        }

        private final class Daemon {

            private final DaemonName name;
            private ChangeSources<DaemonName> sources;
            private ContentVersion content;
            private long version;
            private int life;
            private boolean refused;
            private Runnable waiting;
            private long startedAt;
            private final Set<Daemon> subscribers = new LinkedHashSet<>();
            private Daemon current;
            private long feedFailsAt;

            private Daemon(DaemonName name) {
                this.name = name;
            }

            private void start() {
                life++;
                startedAt = now;
                waiting = null;
                subscribers.clear();
                content = ContentVersion.create();
                version = 0;
                Backoff backoff = Backoff.create(Duration.ofMillis(50), Duration.ofMillis(1600), random);
                List<DaemonName> seeds = daemons.subList(0, Math.min(3, daemons.size())).stream()
                        .map(daemon -> daemon.name)
                        .filter(seed -> !seed.equals(name))
                        .toList();
                sources = ChangeSources.create(BOUND, backoff, seeds, time());
                inLife(0, this::readStore);
                inLife(0, this::readFeed);
                inLife(0, this::sendHeartbeat);
            }

            private void restart() {
                life++;
                waiting = null;
                // The connections of a process that ends are closed at once.
                List.copyOf(subscribers).forEach(subscriber -> subscriber.feedEnded(this));
                subscribers.clear();
                at(now + 400, this::start);
            }

            private Duration time() {
                return Duration.ofMillis(now);
            }

            private void inLife(long delay, Runnable action) {
                int current = life;
                at(now + delay, () -> {
                    if (life == current) {
                        action.run();
                    }
                });
            }

            /** Learns content; an older version does not replace a newer one, as in the daemons' configuration. */
            private void learn(boolean complete, long revision, long newVersion, long knownAt) {
                boolean known = content.isKnown();
                if (content.accept(complete, revision, Duration.ofMillis(knownAt))) {
                    if (newVersion > version) {
                        check(known ? version : newVersion, newVersion);
                        version = newVersion;
                    }
                    if (known && complete) {
                        // A feed ends its subscriptions when its content is replaced.
                        List.copyOf(subscribers).forEach(subscriber -> subscriber.feedEnded(this));
                    }
                    if (!known) {
                        SourceSelection.Selection selection = SourceSelection.select(name, domains);
                        sources.update(selection.role(), withoutFeeds ? List.of() : selection.feeds());
                    }
                    List.copyOf(subscribers).forEach(this::sendBatch);
                }
            }

            /**
             * Records the delay of the changes that have just arrived. For those made before the daemon started it
             * counts from the start: content of a seed may be old, and must not stay so.
             */
            private void check(long from, long to) {
                for (long change = from; change < to; change++) {
                    long dueFrom = Math.max(countFrom.get((int) change), startedAt);
                    if (now - dueFrom > worstDelay) {
                        worstDelay = now - dueFrom;
                        worstAt = dueFrom;
                        worstDaemon = name;
                    }
                }
            }

            private void readStore() {
                long delay = sources.storeDelay(content, time()).toMillis();
                if (delay > 0) {
                    inLife(Math.min(delay, 50), this::readStore);
                } else if (refused) {
                    long wait = sources.maxStoreWait(content, time()).toMillis();
                    inLife(STORE_TIMEOUT_MILLIS + wait, () -> {
                        sources.onStoreFailure(time());
                        readStore();
                    });
                } else if (!content.isKnown()) {
                    inLife(10 + random.nextInt(50), () -> onStoreResponse(true));
                } else if (EraRevision.era(content.revision()) != EraRevision.era(revision())) {
                    inLife(20 + random.nextInt(50), () -> onStoreResponse(true));
                } else if (content.revision() < revision()) {
                    inLife(4 + random.nextInt(5), () -> onStoreResponse(false));
                } else {
                    watch();
                }
            }

            private void watch() {
                long eraOfWatch = EraRevision.era(revision());
                Runnable answer = () -> {
                    if (EraRevision.era(revision()) == eraOfWatch) {
                        onStoreResponse(false);
                    } else {
                        readStore();
                    }
                };
                waiting = answer;
                inLife(sources.maxStoreWait(content, time()).toMillis() + 4, () -> {
                    if (waiting == answer) {
                        waiting = null;
                        answer.run();
                    }
                });
            }

            private void onStoreResponse(boolean complete) {
                long revision = revision();
                if (refused) {
                    inLife(STORE_TIMEOUT_MILLIS, () -> {
                        sources.onStoreFailure(time());
                        readStore();
                    });
                    return;
                }
                boolean changed = complete || revision > content.revision();
                learn(complete, revision, storedVersion, now);
                sources.onStoreResponse();
                inLife(changed ? BUSY_BATCH_MILLIS : 0, this::readStore);
            }

            private void readFeed() {
                Optional<DaemonName> selected = sources.selectFeed(content, time());
                if (selected.isEmpty()) {
                    inLife(100, this::readFeed);
                    return;
                }
                Daemon source = byName.get(selected.get());
                if (!reaches(this, source) || !reaches(source, this)) {
                    inLife(CONNECT_TIMEOUT_MILLIS, () -> onFeedFailed(source));
                    return;
                }
                inLife(5 + random.nextInt(40), () -> {
                    if (source.content == null || !source.content.isKnown()) {
                        onFeedFailed(source);
                    } else {
                        source.subscribers.add(this);
                        feedFailsAt = now + sources.feedTimeout(content, time()).toMillis();
                        current = source;
                        source.sendBatch(this);
                        superviseFeed(source);
                    }
                });
            }

            private void superviseFeed(Daemon source) {
                if (current != source) {
                    return;
                }
                if (now > feedFailsAt) {
                    leave(source);
                    onFeedFailed(source);
                } else if (!sources.isPreferred(source.name, content, time())) {
                    leave(source);
                    sources.onFeedClosed(time());
                    readFeed();
                } else {
                    inLife(100, () -> superviseFeed(source));
                }
            }

            private void feedEnded(Daemon source) {
                if (current == source) {
                    leave(source);
                    inLife(1, () -> onFeedFailed(source));
                }
            }

            private void leave(Daemon source) {
                source.subscribers.remove(this);
                current = null;
            }

            private void onFeedFailed(Daemon source) {
                sources.onFeedFailed(source.name, time());
                readFeed();
            }

            private void sendHeartbeat() {
                if (content.isKnown()) {
                    List.copyOf(subscribers).forEach(this::sendBatch);
                }
                inLife(HEARTBEAT_MILLIS, this::sendHeartbeat);
            }

            /** Sends the content as of now; some batches arrive late, none overtakes an earlier one for long. */
            private void sendBatch(Daemon subscriber) {
                if (!reaches(this, subscriber)) {
                    return;
                }
                long revision = content.revision();
                long sentVersion = version;
                long age = now - content.currentAt().toMillis();
                int subscriberLife = subscriber.life;
                long delay = 3 + (random.nextInt(10) == 0 ? random.nextInt(150) : random.nextInt(20));
                at(now + delay, () -> {
                    if (subscriber.life == subscriberLife && subscriber.current == this) {
                        subscriber.onBatch(this, revision, sentVersion, age);
                    }
                });
            }

            private void onBatch(Daemon source, long revision, long newVersion, long age) {
                boolean complete =
                        !content.isKnown() || EraRevision.era(revision) > EraRevision.era(content.revision());
                learn(complete, revision, newVersion, now - age);
                feedFailsAt = now + sources.feedTimeout(content, time()).toMillis();
                if (!sources.onFeedBatch(source.name, Duration.ofMillis(age))) {
                    leave(source);
                    onFeedFailed(source);
                }
            }
        }
    }
}
