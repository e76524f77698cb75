package org.lavenderwick.daemon.session;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;

import com.google.common.collect.Sets;
import org.jboss.logging.Logger;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.time.MonotonicClock;
import org.lavenderwick.core.time.TokenBucket;

/**
 * A log of failed requests, with the state of the group that this daemon assumed at the time of the failure. The rate
 * of log lines is limited separately for each {@link ErrorKind}, so that frequent failures of one kind cost little and
 * don't hide those of other kinds. Confined to the traffic thread.
 */
final class RequestLog {

    /** Maximum burst of log lines for one error kind; further failures in a burst are usually like the first ones. */
    static final int MAX_BURST_LINES = 10;

    /** Time in which one more line of an error kind becomes available. Writing it takes a fraction of a millisecond. */
    static final Duration REFILL_INTERVAL = Duration.ofMillis(500);

    private static final double MILLIS_PER_SECOND = 1000;

    private static final Logger LOG = Logger.getLogger(RequestLog.class);

    /**
     * A request of a caller.
     *
     * @param id the caller's id of the request; {@code -} if it could not be parsed
     * @param database the name of the database; {@code -} if the session has none yet
     * @param receivedAt monotonic time at which the request arrived
     */
    record Request(String id, String database, Duration receivedAt) {}

    /** The rate limit for the log lines of one error kind, with the number of lines omitted. */
    private static final class LineLimiter {

        private final TokenBucket budget;
        private long omitted;

        LineLimiter(MonotonicClock clock) {
            this.budget = TokenBucket.of(MAX_BURST_LINES, MILLIS_PER_SECOND / REFILL_INTERVAL.toMillis(), clock);
        }

        /** Returns whether a line may be written now; counts it as omitted otherwise. */
        boolean tryAcquire() {
            boolean allowed = budget.tryAcquire();
            omitted += allowed ? 0 : 1;
            return allowed;
        }

        /** Returns the end of the log line that tells how many lines were omitted, and resets their number. */
        String takeOmittedNote() {
            String text = omitted == 0 ? "" : ", " + omitted + " alike not shown";
            omitted = 0;
            return text;
        }
    }

    /** Kinds of failures that follow from the configuration and not from the state of a group. */
    private static final Set<ErrorKind> FROM_CONFIGURATION = Sets.immutableEnumSet(
            ErrorKind.UNKNOWN_GROUP,
            ErrorKind.UNAUTHORIZED,
            ErrorKind.NOT_CONFIGURED,
            ErrorKind.CONFIGURATION_OUTDATED);

    private final Function<GroupName, String> groupState;
    private final Supplier<String> contentState;
    private final MonotonicClock clock;
    private final Map<ErrorKind, LineLimiter> limiters = new EnumMap<>(ErrorKind.class);

    /**
     * Creates a log.
     *
     * @param groupState returns a description of the state of a group as this daemon knows it
     * @param contentState returns a description of the configuration and of the store content that it is from
     * @param clock the monotonic clock by which {@link Request#receivedAt} was read
     */
    RequestLog(Function<GroupName, String> groupState, Supplier<String> contentState, MonotonicClock clock) {
        this.groupState = groupState;
        this.contentState = contentState;
        this.clock = clock;
    }

    /**
     * Logs the failure of a request, unless the rate limit of its error kind is exceeded.
     *
     * @param statement the queued statement that the request led to; empty if the request failed before
     */
    void logFailure(Request request, Optional<PendingStatement> statement, Failure failure) {
        LineLimiter limiter = limiters.computeIfAbsent(failure.kind(), kind -> new LineLimiter(clock));
        if (!limiter.tryAcquire()) {
            return;
        }
        LOG.infof(
                "[request] %s of %s: %s after %d ms, as %s%s%s%s.",
                request.id(),
                request.database(),
                failure.kind(),
                clock.now().minus(request.receivedAt()).toMillis(),
                failure.detail(),
                statement.map(this::describe).orElse(""),
                FROM_CONFIGURATION.contains(failure.kind()) ? "; " + contentState.get() : "",
                limiter.takeOmittedNote());
    }

    private String describe(PendingStatement statement) {
        return "; sent " + statement.sendCount() + " times; group "
                + statement.route().group() + ", "
                + groupState.apply(statement.route().group());
    }
}
