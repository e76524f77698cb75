package org.lavenderwick.core.ratelimit;

import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * The part of an account's limit that one grantor runs: a token bucket whose capacity also covers the permits that
 * askers hold. A permit counts as held until its asker reports it as used or returns it, or until its lifetime is over.
 * Confined to one thread.
 */
final class LimitPart {

    private static final double NANOS_PER_SECOND = 1e9;

    /** Share of the capacity that is not granted ahead of demand, so that operations that wait find permits. */
    private static final double RESERVED_SHARE = 1 / 3.0;

    private static final class Holding {
        private long count;
        private Duration expiresAt;
    }

    /**
     * What an asker holds after its request.
     *
     * @param total permits that it may use, with those that it reported
     * @param granted those among them that are new
     * @param roomAfter time until the next permit for an operation that waits; zero if all of those have one
     */
    record Grant(long total, long granted, Duration roomAfter) {}

    private final Map<Object, Holding> holdings = new HashMap<>();
    private final Duration fullAt;
    private PartSizes sizes;
    private double available;
    private Duration filledAt;
    private long outstanding;

    /**
     * Creates an empty part.
     *
     * @param startedAt since when it gains permits
     * @param fullAt until when it has the initial capacity
     */
    LimitPart(PartSizes sizes, Duration startedAt, Duration fullAt) {
        this.sizes = sizes;
        this.filledAt = startedAt;
        this.fullAt = fullAt;
    }

    /** Changes the sizes. A lower capacity applies at once, a higher one is filled in the course of time. */
    void resize(PartSizes newSizes, Duration now) {
        advance(now);
        sizes = newSizes;
        available = Math.max(0, Math.min(available, sizes.capacity() - outstanding));
    }

    /**
     * Handles a request.
     *
     * @param asker identity of the asker; its requests must arrive in the order in which it sent them
     * @param held permits that it holds and has not used
     * @param returned permits that it gives back unused, besides those that it holds
     * @param waiting operations that wait for a permit
     * @param ahead permits that it would like to have ahead of demand
     */
    Grant request(Object asker, long held, long returned, long waiting, long ahead, Duration now) {
        advance(now);
        Holding holding = holdings.computeIfAbsent(asker, name -> new Holding());
        long known = holding.count;
        long kept = Math.max(0, Math.min(held, known));
        available += Math.max(0, Math.min(returned, known - kept));
        long urgent = Math.min(waiting, (long) available);
        long extra = waiting > urgent
                ? 0
                : Math.max(0, Math.min(ahead, (long) (available - urgent - RESERVED_SHARE * capacity(now))));
        available -= urgent + extra;
        holding.count = kept + urgent + extra;
        holding.expiresAt = now.plus(PartSizes.LIFETIME);
        outstanding += holding.count - known;
        return new Grant(holding.count, urgent + extra, waiting > urgent ? timeUntilRoom(now) : Duration.ZERO);
    }

    private double capacity(Duration now) {
        return now.compareTo(fullAt) < 0 ? sizes.initialCapacity() : sizes.capacity();
    }

    /** Returns the time until a permit is available, at the latest when holdings expire that leave no room for one. */
    private Duration timeUntilRoom(Duration now) {
        if (sizes.perSecond() <= 0) {
            return PartSizes.LIFETIME;
        }
        Duration gain = Duration.ofNanos((long) ((1 - available) / sizes.perSecond() * NANOS_PER_SECOND) + 1);
        return outstanding + 1 <= capacity(now) ? gain : min(PartSizes.LIFETIME, gain.plus(untilNextExpiry(now)));
    }

    private Duration untilNextExpiry(Duration now) {
        return holdings.values().stream()
                .filter(holding -> holding.count > 0)
                .map(holding -> holding.expiresAt.minus(now))
                .min(Duration::compareTo)
                .orElse(Duration.ZERO);
    }

    private static Duration min(Duration first, Duration second) {
        return first.compareTo(second) < 0 ? first : second;
    }

    /**
     * Adds what the part gained since the last call. Holdings expire in the order of their times, and the gain before
     * each of them is limited by what was held then: permits that could be used until their last moment must not be
     * replaced before it.
     */
    private void advance(Duration now) {
        while (true) {
            Duration next = now;
            for (Holding holding : holdings.values()) {
                next = min(next, holding.expiresAt);
            }
            fill(next);
            if (!removeExpired(next)) {
                fill(now);
                return;
            }
        }
    }

    private boolean removeExpired(Duration time) {
        boolean removed = false;
        for (Iterator<Holding> all = holdings.values().iterator(); all.hasNext(); ) {
            Holding holding = all.next();
            if (holding.expiresAt.compareTo(time) <= 0) {
                outstanding -= holding.count;
                all.remove();
                removed = true;
            }
        }
        return removed;
    }

    private void fill(Duration time) {
        if (time.compareTo(filledAt) <= 0) {
            return;
        }
        if (filledAt.compareTo(fullAt) < 0 && fullAt.compareTo(time) < 0) {
            fill(fullAt);
        }
        double limit = Math.max(0, capacityBefore(time) - outstanding);
        double gain = time.minus(filledAt).toNanos() * sizes.perSecond() / NANOS_PER_SECOND;
        // What is above the limit already was not gained now, and stays.
        available = Math.max(Math.min(available, limit), Math.min(limit, available + gain));
        filledAt = time;
    }

    private double capacityBefore(Duration time) {
        return time.compareTo(fullAt) <= 0 ? sizes.initialCapacity() : sizes.capacity();
    }
}
