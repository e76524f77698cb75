package org.lavenderwick.core.admission;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Limits retries to a share of the requests, so that retries cannot multiply an overload. Confined to one thread.
 *
 * <p>Over any run of requests, the retries number at most 10 % of the requests plus the unused allowance.
 */
public final class RetryBudget {

    /** A retry costs as much as this many requests bring in, which makes the share 10 %. */
    private static final int REQUESTS_PER_RETRY = 10;

    /** Highest number of unused retries; more would let a burst of retries follow a quiet time. */
    private static final int MAX_SAVED_RETRIES = 50;

    private int balance;

    private RetryBudget(int balance) {
        this.balance = balance;
    }

    /** Returns a budget that lets the given number of retries pass before any request. */
    public static RetryBudget create(int initialRetries) {
        checkArgument(
                initialRetries >= 0 && initialRetries <= MAX_SAVED_RETRIES,
                "initial retries are outside 0 to %s: %s",
                MAX_SAVED_RETRIES,
                initialRetries);
        return new RetryBudget(initialRetries * REQUESTS_PER_RETRY);
    }

    /** Records a first attempt of a request. */
    public void recordRequest() {
        balance = Math.min(balance + 1, MAX_SAVED_RETRIES * REQUESTS_PER_RETRY);
    }

    /** Returns whether a retry may be sent, and if so counts it. */
    public boolean tryAcquireRetry() {
        if (balance < REQUESTS_PER_RETRY) {
            return false;
        }
        balance -= REQUESTS_PER_RETRY;
        return true;
    }
}
