package org.lavenderwick.core.propagation;

import java.time.Duration;

/**
 * The dating of the content that a feed delivers. A feed states the age of its content when it sends it, and the time
 * in transit adds to that age. A subscriber therefore dates the content from the time at which it sent the last probe
 * that the feed has answered, since all that follows the answer was sent later than that. The subscription is the
 * first probe.
 *
 * <p>Answers this pattern: daemons without the store read each other's feeds. Dated from its arrival, the content that
 * they pass on to each other ages more slowly than time passes, and no daemon finds out that it lacks the store. Dated
 * from probes, it is never taken to be younger than it is. Not thread-safe.
 */
public final class FeedProbes {

    /** Minimum time between two probes; a little less than the interval at which a feed gives occasion to send one. */
    static final Duration MIN_INTERVAL = ChangeSources.HEARTBEAT_INTERVAL.minusMillis(100);

    private final boolean supported;
    private Duration datedFrom;
    private Duration sentAt;
    private long number;
    private boolean outstanding;
    private boolean answered;

    private FeedProbes(boolean supported, Duration subscribedAt) {
        this.supported = supported;
        this.datedFrom = subscribedAt;
        this.sentAt = subscribedAt;
    }

    /**
     * Returns the dating of a feed that answers probes.
     *
     * @param subscribedAt monotonic time before the subscription was sent
     */
    public static FeedProbes create(Duration subscribedAt) {
        return new FeedProbes(true, subscribedAt);
    }

    /**
     * Returns the dating of a feed of an earlier version, which does not answer probes. Its content is dated from its
     * arrival.
     */
    public static FeedProbes unsupported() {
        return new FeedProbes(false, Duration.ZERO);
    }

    /** Returns whether a probe should be sent now. Only one is outstanding at a time. */
    public boolean isDue(Duration now) {
        return supported && !outstanding && now.minus(sentAt).compareTo(MIN_INTERVAL) >= 0;
    }

    /** Records that a probe is about to be sent, and returns its number. */
    public long next(Duration now) {
        outstanding = true;
        sentAt = now;
        number++;
        return number;
    }

    /** Records the answer to a probe; returns false if no such probe is outstanding. */
    public boolean onAnswer(long answeredNumber) {
        if (!outstanding || answeredNumber != number) {
            return false;
        }
        outstanding = false;
        answered = true;
        datedFrom = sentAt;
        return true;
    }

    /** Returns whether a probe is outstanding and the feed has not answered any yet. */
    public boolean awaitsFirstAnswer() {
        return outstanding && !answered;
    }

    /**
     * Returns a monotonic time at which content was the newest that has just arrived.
     *
     * @param age the age of the content when it was sent
     */
    public Duration knownAt(Duration age, Duration now) {
        return (supported ? datedFrom : now).minus(age);
    }
}
