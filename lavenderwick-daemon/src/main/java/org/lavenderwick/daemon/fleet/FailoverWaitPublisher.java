package org.lavenderwick.daemon.fleet;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;

import org.jboss.logging.Logger;
import org.lavenderwick.core.failover.FailoverWait;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.store.FleetStore;
import org.lavenderwick.core.store.StoreEntry;
import org.lavenderwick.core.store.StoreWrite;
import org.lavenderwick.core.time.Clocks;
import org.lavenderwick.core.time.MonotonicClock;

/**
 * Tells operators, by the log and a store entry, and the other daemons, by the entry, for which endpoints a failover
 * waits. The entry is under the lease of the failover lock, so it ends with the failover. Confined to one thread.
 */
final class FailoverWaitPublisher {

    /** Time between two log lines of a wait, and between two attempts to write the entry. */
    private static final Duration LOG_INTERVAL = Duration.ofSeconds(10);

    private static final Duration WRITE_RETRY_DELAY = Duration.ofSeconds(1);

    private static final Logger LOG = Logger.getLogger(FailoverWaitPublisher.class);

    private final DaemonName daemon;
    private final GroupName group;
    private final FleetStore store;
    private final MonotonicClock clock;
    private final InstantSource wallClock;
    private Optional<FailoverWait> published = Optional.empty();
    private Duration loggedAt = Duration.ZERO;
    private Duration writeAfter = Duration.ZERO;

    FailoverWaitPublisher(DaemonName daemon, GroupName group, FleetStore store, Clocks clocks) {
        this.daemon = daemon;
        this.group = group;
        this.store = store;
        this.clock = clocks.monotonic();
        this.wallClock = clocks.wall();
    }

    /**
     * Publishes what a failover waits for now; writes the entry only if that has changed.
     *
     * @param lease the lease of the failover lock
     */
    void update(Optional<FailoverWait> wait, long lease) {
        Duration now = clock.now();
        wait.ifPresent(current -> log(current, now));
        boolean unchanged = wait.isPresent() == published.isPresent()
                && wait.filter(current -> !current.isSameAs(published.get())).isEmpty();
        if (unchanged || now.compareTo(writeAfter) < 0) {
            return;
        }
        if (wait.isEmpty()) {
            LOG.infof("[failover] %s no longer waits for endpoints.", group);
        }
        String text = wait.map(current -> text(current, now)).orElse("");
        String key = FailoverWait.key(group);
        store.read(key)
                .flatMap(entry -> store.write(
                        new StoreWrite(key, entry.map(StoreEntry::revision).orElse(StoreWrite.ABSENT), text, lease)))
                .peek(revision -> published = wait)
                .peekLeft(failure -> {
                    writeAfter = now.plus(WRITE_RETRY_DELAY);
                    LOG.warnf("[failover] Could not write for which endpoints %s waits: %s", group, failure.detail());
                });
    }

    private void log(FailoverWait wait, Duration now) {
        boolean isNew = published.filter(wait::isSameAs).isEmpty() && now.compareTo(writeAfter) >= 0;
        if (isNew || now.minus(loggedAt).compareTo(LOG_INTERVAL) >= 0) {
            loggedAt = now;
            LOG.warnf(
                    "[failover] %s has waited for %d ms: it %s.",
                    group, now.minus(wait.since()).toMillis(), wait.describe());
        }
    }

    private String text(FailoverWait wait, Duration now) {
        Instant since = wallClock.instant().minus(now.minus(wait.since()));
        return daemon + " " + wait.describe() + " (since " + since + ")";
    }
}
