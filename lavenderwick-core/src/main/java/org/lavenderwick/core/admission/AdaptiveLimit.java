package org.lavenderwick.core.admission;

import java.time.Duration;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A limit that settles at the number of statements an endpoint runs at full speed.
 *
 * <p>It compares the mean latency of a round of answers with the latency of the unloaded endpoint. With a limit of n,
 * {@code n * (1 - unloaded / mean)} is the number of statements that queue inside the endpoint, as in TCP Vegas. The
 * limit rises by one while almost none queue and falls by one when about one does. A rise that had to be taken back
 * makes the next one wait longer, so that a settled limit stays put most of the time.
 *
 * <p>Deterministic; each call takes constant time.
 */
public final class AdaptiveLimit implements ConcurrencyLimit {

    /** Answers per round at low limits; fewer make the mean too noisy. */
    private static final int MIN_ROUND = 30;

    /** Rounds cover several times the limit, so that a round sees the latency of its own limit. */
    private static final int ROUND_PER_LIMIT = 4;

    private static final double RAISE_BELOW = 0.4;

    private static final double LOWER_ABOVE = 0.7;

    /** Longest wait, in rounds, after a rise that was taken back. */
    private static final int MAX_HOLD = 32;

    /** After this many rounds the limit is halved for one round to measure the unloaded latency anew. */
    private static final int ROUNDS_PER_PROBE = 200;

    /** The first such round comes early, since a hint above the true number of slots spoils the first measurement. */
    private static final int FIRST_PROBE = 3;

    /** Weight of a lower mean in the unloaded latency; low, since the lowest of many means is too low by chance. */
    private static final double BASELINE_WEIGHT = 0.05;

    private static final double TIMEOUT_FACTOR = 0.7;

    private int limit;
    private int maximum;
    private int limitBeforeProbe;
    private boolean probing;
    private boolean justRaised;
    private double baselineNanos;
    private double sumNanos;
    private int answers;
    private int highestInFlight;
    private int rounds;
    private int hold;
    private int holdAfterSetback = 1;
    private boolean timedOutInRound;

    private AdaptiveLimit(int limit, int maximum) {
        this.limit = limit;
        this.maximum = maximum;
    }

    /**
     * Returns a limit that starts at the given hint.
     *
     * @param hint first value: the configured slots of the endpoint
     * @param maximum highest value: the traffic connections of this owner
     */
    public static AdaptiveLimit create(int hint, int maximum) {
        checkArgument(hint >= 1, "hint is below 1: %s", hint);
        int highest = Math.max(1, maximum);
        return new AdaptiveLimit(Math.min(hint, highest), highest);
    }

    @Override
    public int limit() {
        return limit;
    }

    @Override
    public void recordResponse(Duration latency, int inFlight) {
        if (inFlight > limit) {
            // Sent under an earlier, higher limit.
            return;
        }
        sumNanos += latency.toNanos();
        answers++;
        highestInFlight = Math.max(highestInFlight, inFlight);
        if (answers >= Math.max(MIN_ROUND, ROUND_PER_LIMIT * limit)) {
            endRound(sumNanos / answers);
            startRound();
        }
    }

    private void endRound(double mean) {
        rounds++;
        if (probing) {
            baselineNanos = mean;
            probing = false;
            limit = Math.min(limitBeforeProbe, maximum);
            return;
        }
        if (baselineNanos == 0 || highestInFlight == 1) {
            // A single request in flight queues behind no other.
            baselineNanos = mean;
        } else if (mean < baselineNanos) {
            baselineNanos += BASELINE_WEIGHT * (mean - baselineNanos);
        }
        double queued = highestInFlight * (1 - baselineNanos / Math.max(mean, baselineNanos));
        if (queued > LOWER_ABOVE) {
            lower();
        } else if (highestInFlight >= limit && queued < RAISE_BELOW) {
            raise();
        }
        if (rounds % ROUNDS_PER_PROBE == FIRST_PROBE && limit > 1) {
            probing = true;
            limitBeforeProbe = limit;
            limit = limit / 2;
        }
    }

    private void lower() {
        if (justRaised) {
            hold = holdAfterSetback;
            holdAfterSetback = Math.min(MAX_HOLD, holdAfterSetback * 2);
        } else {
            holdAfterSetback = 1;
        }
        justRaised = false;
        limit = Math.max(1, limit - 1);
    }

    private void raise() {
        if (justRaised) {
            // The last rise held for a whole round, so the endpoint has room.
            holdAfterSetback = 1;
        }
        justRaised = false;
        if (hold > 0) {
            hold--;
        } else if (limit < maximum) {
            limit++;
            justRaised = true;
        }
    }

    private void startRound() {
        sumNanos = 0;
        answers = 0;
        highestInFlight = 0;
        timedOutInRound = false;
    }

    /** {@inheritDoc} Only the first one of a round lowers the limit, as one fault often times out many requests. */
    @Override
    public void recordTimeout() {
        if (timedOutInRound) {
            return;
        }
        int before = probing ? limitBeforeProbe : limit;
        probing = false;
        justRaised = false;
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
