package org.lavenderwick.core.admission;

import java.time.Duration;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A concurrency limit that converges to the number of statements an endpoint runs in parallel without queueing.
 *
 * <p>The limit is adjusted once per round, where a round is a fixed number of responses. As in TCP Vegas, the number of
 * statements queued inside the endpoint is estimated as {@code n * (1 - baseline / mean)}, where {@code n} is the
 * highest number of requests in flight, {@code mean} is the mean latency of the round and {@code baseline} is the
 * latency of the unloaded endpoint. The limit increases by one if this estimate is low and decreases by one if it is
 * high. After an increase that had to be reverted, the next increase is delayed, with exponential backoff, so that the
 * limit does not oscillate.
 *
 * <p>Deterministic. Each call takes constant time.
 */
public final class AdaptiveLimit implements ConcurrencyLimit {

    /** Lower bound of the responses per round; with fewer, the mean latency is too noisy. */
    private static final int MIN_RESPONSES_PER_ROUND = 30;

    /**
     * Responses per round, as a multiple of the limit. Must be well above 1, so that most responses of a round were
     * measured under the limit of that round.
     */
    private static final int RESPONSES_PER_LIMIT = 4;

    /** The limit increases if fewer statements than this are queued inside the endpoint. */
    private static final double QUEUED_TO_INCREASE = 0.4;

    /** The limit decreases if more statements than this are queued inside the endpoint. */
    private static final double QUEUED_TO_DECREASE = 0.7;

    /** Upper bound, in rounds, of the delay before the next increase. */
    private static final int MAX_INCREASE_DELAY_ROUNDS = 32;

    /** Period, in rounds, after which the limit is halved for one round to measure the baseline latency again. */
    private static final int ROUNDS_PER_PROBE = 200;

    /**
     * Number of rounds before the first probe. Low, because an initial limit above the real parallelism of the endpoint
     * makes the first baseline too high.
     */
    private static final int ROUNDS_BEFORE_FIRST_PROBE = 3;

    /**
     * Weight of a mean below the baseline when the baseline is updated. Low, because the lowest of many noisy means
     * underestimates the baseline.
     */
    private static final double BASELINE_WEIGHT = 0.05;

    /** Factor by which a timeout reduces the limit. */
    private static final double TIMEOUT_FACTOR = 0.7;

    private int limit;
    private int maximum;
    private int limitBeforeProbe;
    private boolean probing;
    private boolean increasedInLastRound;
    private double baselineNanos;
    private double latencySumNanos;
    private int responses;
    private int highestInFlight;
    private int rounds;
    private int roundsUntilIncrease;
    private int nextIncreaseDelayRounds = 1;
    private boolean timedOutInRound;

    private AdaptiveLimit(int limit, int maximum) {
        this.limit = limit;
        this.maximum = maximum;
    }

    /**
     * Creates a limit.
     *
     * @param initial initial limit, at least 1: the configured number of slots of the endpoint
     * @param maximum upper bound: the number of traffic connections that this daemon may open to the endpoint
     */
    public static AdaptiveLimit create(int initial, int maximum) {
        checkArgument(initial >= 1, "initial limit must be at least 1: %s", initial);
        int highest = Math.max(1, maximum);
        return new AdaptiveLimit(Math.min(initial, highest), highest);
    }

    @Override
    public int limit() {
        return limit;
    }

    @Override
    public void recordResponse(Duration latency, int inFlight) {
        if (inFlight > limit) {
            // The request was sent under a higher limit that has been lowered since.
            return;
        }
        latencySumNanos += latency.toNanos();
        responses++;
        highestInFlight = Math.max(highestInFlight, inFlight);
        if (responses >= Math.max(MIN_RESPONSES_PER_ROUND, RESPONSES_PER_LIMIT * limit)) {
            endRound(latencySumNanos / responses);
            startRound();
        }
    }

    private void endRound(double meanNanos) {
        rounds++;
        if (probing) {
            baselineNanos = meanNanos;
            probing = false;
            limit = Math.min(limitBeforeProbe, maximum);
            return;
        }
        if (baselineNanos == 0 || highestInFlight == 1) {
            // With one request in flight nothing is queued, so the mean is the baseline.
            baselineNanos = meanNanos;
        } else if (meanNanos < baselineNanos) {
            baselineNanos += BASELINE_WEIGHT * (meanNanos - baselineNanos);
        }
        double queued = highestInFlight * (1 - baselineNanos / Math.max(meanNanos, baselineNanos));
        if (queued > QUEUED_TO_DECREASE) {
            decrease();
        } else if (highestInFlight >= limit && queued < QUEUED_TO_INCREASE) {
            increaseUnlessDelayed();
        }
        if (rounds % ROUNDS_PER_PROBE == ROUNDS_BEFORE_FIRST_PROBE && limit > 1) {
            probing = true;
            limitBeforeProbe = limit;
            limit = limit / 2;
        }
    }

    private void decrease() {
        if (increasedInLastRound) {
            roundsUntilIncrease = nextIncreaseDelayRounds;
            nextIncreaseDelayRounds = Math.min(MAX_INCREASE_DELAY_ROUNDS, nextIncreaseDelayRounds * 2);
        } else {
            nextIncreaseDelayRounds = 1;
        }
        increasedInLastRound = false;
        limit = Math.max(1, limit - 1);
    }

    private void increaseUnlessDelayed() {
        if (increasedInLastRound) {
            // The endpoint ran a full round at the increased limit without queueing.
            nextIncreaseDelayRounds = 1;
        }
        increasedInLastRound = false;
        if (roundsUntilIncrease > 0) {
            roundsUntilIncrease--;
        } else if (limit < maximum) {
            limit++;
            increasedInLastRound = true;
        }
    }

    private void startRound() {
        latencySumNanos = 0;
        responses = 0;
        highestInFlight = 0;
        timedOutInRound = false;
    }

    /**
     * {@inheritDoc}
     *
     * <p>Only the first timeout of a round reduces the limit, because a single fault often times out many requests.
     */
    @Override
    public void recordTimeout() {
        if (timedOutInRound) {
            return;
        }
        int before = probing ? limitBeforeProbe : limit;
        probing = false;
        increasedInLastRound = false;
        limit = Math.min(maximum, Math.max(1, (int) (before * TIMEOUT_FACTOR)));
        startRound();
        timedOutInRound = true;
    }

    @Override
    public void setMaximum(int newMaximum) {
        maximum = Math.max(1, newMaximum);
        limit = Math.min(limit, maximum);
    }
}
