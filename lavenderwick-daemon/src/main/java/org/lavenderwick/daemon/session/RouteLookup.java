package org.lavenderwick.daemon.session;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;

import io.vavr.control.Either;
import org.lavenderwick.core.catalog.Catalog;
import org.lavenderwick.core.catalog.DatabaseRoute;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.propagation.ChangeSources;
import org.lavenderwick.core.propagation.ContentStatus;
import org.lavenderwick.core.propagation.DenialRule;
import org.lavenderwick.core.time.MonotonicClock;

/**
 * The lookup of databases in the active configuration. What the configuration lacks is only denied while this daemon
 * knows that the configuration is recent. Confined to the traffic thread, except where documented otherwise.
 */
final class RouteLookup {

    /** Time in which another source of changes is tried, so that the daemon may know more when the caller returns. */
    private static final Duration RETRY_DELAY = ChangeSources.HEARTBEAT_INTERVAL;

    private final Supplier<Optional<Catalog>> catalog;
    private final DenialRule denials;
    private final Supplier<Duration> discardedUntil;
    private final MonotonicClock clock;
    private volatile Supplier<ContentStatus> content = () -> ContentStatus.NONE;

    /**
     * Creates a lookup.
     *
     * @param catalog returns the active configuration; empty if none is known
     * @param discardedUntil returns the monotonic time until which nothing that the daemon learned counts
     */
    RouteLookup(
            Supplier<Optional<Catalog>> catalog,
            DenialRule denials,
            Supplier<Duration> discardedUntil,
            MonotonicClock clock) {
        this.catalog = catalog;
        this.denials = denials;
        this.discardedUntil = discardedUntil;
        this.clock = clock;
    }

    /**
     * Sets the source of the status of the store content that the configuration is from. Until then there is none. May
     * be called from any thread.
     */
    void describeContentWith(Supplier<ContentStatus> source) {
        content = source;
    }

    /** Returns the route of a database, or the failure to report if there is none. */
    Either<Failure, DatabaseRoute> find(String database) {
        if (catalog.get().isEmpty()) {
            return Either.left(Failure.of(ErrorKind.NOT_CONFIGURED, "the daemon has no configuration yet"));
        }
        return catalog.get()
                .get()
                .route(database)
                .<Either<Failure, DatabaseRoute>>map(Either::right)
                .orElseGet(() -> Either.left(deny(Failure.of(ErrorKind.UNKNOWN_GROUP, "no such database"))));
    }

    /**
     * Returns the failure for something that the configuration lacks: the given denial, or a refusal that the caller
     * may retry if the configuration may be out of date.
     */
    Failure deny(Failure denial) {
        return denials.permits(content.get(), discardedUntil.get(), clock.now())
                ? denial
                : Failure.of(
                        ErrorKind.CONFIGURATION_OUTDATED,
                        "the configuration may be out of date, retry after " + RETRY_DELAY.toMillis() + " ms");
    }

    /** Returns which configuration is active, for the log. */
    String describeConfiguration() {
        return catalog.get().map(known -> "configuration " + known.version()).orElse("no configuration");
    }

    /** Returns which configuration is active and which store content it is from, for the log. */
    String describeContent() {
        return describeConfiguration() + " from " + content.get().describe(clock.now());
    }
}
