package org.lavenderwick.core.balancing;

import java.time.Duration;

/**
 * The schedule of single reads that find out whether an endpoint of another failure domain has spare capacity. After a
 * read that was not delayed the next one follows at once, otherwise after a time that doubles up to a bound. Not
 * thread-safe.
 */
final class Exploration {

    private static final Duration MIN_INTERVAL = Duration.ofSeconds(1);
    private static final Duration MAX_INTERVAL = Duration.ofSeconds(8);

    private Duration interval = MIN_INTERVAL;
    private Duration sentAt = Duration.ofDays(-1);

    /**
     * Returns whether a read may be sent to the endpoint.
     *
     * @param spareDelay delay up to which the endpoint has spare capacity
     */
    boolean isDue(EndpointQuality quality, double spareDelay, Duration now) {
        boolean undelayed = quality.lastDelayAt().compareTo(sentAt) > 0 && quality.delay(0, now) <= spareDelay;
        if (undelayed) {
            interval = MIN_INTERVAL;
        }
        return undelayed || now.minus(sentAt).compareTo(interval) >= 0;
    }

    void onSent(Duration now) {
        Duration doubled = interval.multipliedBy(2);
        interval = doubled.compareTo(MAX_INTERVAL) < 0 ? doubled : MAX_INTERVAL;
        sentAt = now;
    }
}
