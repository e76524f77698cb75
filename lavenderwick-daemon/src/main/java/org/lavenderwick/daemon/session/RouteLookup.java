package org.lavenderwick.daemon.session;

import java.util.Optional;
import java.util.function.Supplier;

import io.vavr.control.Either;
import org.lavenderwick.core.catalog.Catalog;
import org.lavenderwick.core.catalog.DatabaseRoute;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.propagation.ContentStatus;
import org.lavenderwick.core.time.MonotonicClock;

/** The lookup of databases in the active configuration. Confined to the traffic thread. */
final class RouteLookup {

    private final Supplier<Optional<Catalog>> catalog;
    private final Supplier<ContentStatus> content;
    private final MonotonicClock clock;

    /**
     * Creates a lookup.
     *
     * @param catalog returns the active configuration; empty if none is known
     * @param content returns the status of the store content that the configuration is from
     */
    RouteLookup(Supplier<Optional<Catalog>> catalog, Supplier<ContentStatus> content, MonotonicClock clock) {
        this.catalog = catalog;
        this.content = content;
        this.clock = clock;
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
                .orElseGet(() -> Either.left(Failure.of(ErrorKind.UNKNOWN_GROUP, "no such database")));
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
