package org.lavenderwick.daemon.session;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

import org.jboss.logging.Logger;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.time.MonotonicClock;
import org.lavenderwick.core.time.TokenBucket;

/**
 * A line for each request that failed, with what the daemon believed at that moment. The lines of each kind of failure
 * are limited, so that a flood of one kind costs little and hides no other. Confined to the traffic thread.
 */
final class RequestLog {

    /** Lines of one kind that may come at once; a burst beyond it is alike. */
    static final int BURST = 10;

    /** Time after which one more line of a kind may come; a fraction of a millisecond of work each. */
    static final Duration REFILL = Duration.ofMillis(500);

    private static final double MILLIS_PER_SECOND = 1000;

    private static final Logger LOG = Logger.getLogger(RequestLog.class);

    /** A request as its caller sent it. */
    record Request(String id, String database, Duration askedAt) {}

    /** The lines of one kind of failure. */
    private static final class Lines {

        private final TokenBucket budget;
        private long omitted;

        Lines(MonotonicClock clock) {
            this.budget = TokenBucket.of(BURST, MILLIS_PER_SECOND / REFILL.toMillis(), clock);
        }

        boolean take() {
            boolean taken = budget.tryAcquire();
            omitted += taken ? 0 : 1;
            return taken;
        }

        String omission() {
            String text = omitted == 0 ? "" : ", " + omitted + " alike not shown";
            omitted = 0;
            return text;
        }
    }

    private final Function<GroupName, String> beliefs;
    private final MonotonicClock clock;
    private final Map<ErrorKind, Lines> written = new EnumMap<>(ErrorKind.class);

    /**
     * Creates a log.
     *
     * @param beliefs tells what the daemon believes of a group
     * @param clock the clock by which requests were asked
     */
    RequestLog(Function<GroupName, String> beliefs, MonotonicClock clock) {
        this.beliefs = beliefs;
        this.clock = clock;
    }

    /** Writes why a request failed. */
    void failed(Request request, Optional<PendingStatement> work, Failure failure) {
        Lines lines = written.computeIfAbsent(failure.kind(), kind -> new Lines(clock));
        if (!lines.take()) {
            return;
        }
        LOG.infof(
                "[request] %s of %s: %s after %d ms, as %s%s%s.",
                request.id(),
                request.database(),
                failure.kind(),
                clock.now().minus(request.askedAt()).toMillis(),
                failure.detail(),
                work.map(this::circumstances).orElse(""),
                lines.omission());
    }

    private String circumstances(PendingStatement work) {
        return "; sent " + work.sendCount() + " times; group " + work.route().group() + ", "
                + beliefs.apply(work.route().group());
    }
}
