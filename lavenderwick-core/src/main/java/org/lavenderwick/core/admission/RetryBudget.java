package org.lavenderwick.core.admission;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A budget that limits retries to 10 % of the requests, so that retries cannot amplify an overload. Over any sequence
 * of requests, the number of retries is at most 10 % of the requests plus the retries that were unused at its start.
 *
 * <p>Not thread-safe.
 */
public final class RetryBudget {

    /** Number of requests that pay for one retry; 10 limits retries to 10 % of the requests. */
    private static final int REQUESTS_PER_RETRY = 10;

    /** Upper bound of the unused retries, which limits the retry burst after a period without failures. */
    private static final int MAX_UNUSED_RETRIES = 50;

    /** Unused budget, in requests. */
    private int balance;

    private RetryBudget(int balance) {
        this.balance = balance;
    }

    /**
     * Creates a budget.
     *
     * @param initialRetries number of retries allowed before any request is recorded
     * @throws IllegalArgumentException if the number is negative or above the maximum number of unused retries
     */
    public static RetryBudget create(int initialRetries) {
        checkArgument(
                initialRetries >= 0 && initialRetries <= MAX_UNUSED_RETRIES,
                "initial retries must be between 0 and %s: %s",
                MAX_UNUSED_RETRIES,
                initialRetries);
        return new RetryBudget(initialRetries * REQUESTS_PER_RETRY);
    }

    /** Records the first attempt of a request. */
    public void recordRequest() {
        balance = Math.min(balance + 1, MAX_UNUSED_RETRIES * REQUESTS_PER_RETRY);
    }

    /** Deducts one retry from the budget if it allows one. Returns whether the retry may be sent. */
    public boolean tryAcquireRetry() {
        if (balance < REQUESTS_PER_RETRY) {
            return false;
        }
        balance -= REQUESTS_PER_RETRY;
        return true;
    }
}
