package org.lavenderwick.core.error;

/** Whether the caller may retry a failed request. */
public enum Retryability {
    /** A retry is safe and may succeed. */
    SAFE,
    /** A retry is safe only if the request has an idempotency key. */
    WITH_IDEMPOTENCY_KEY,
    /** A retry of the unchanged request fails with the same error. */
    USELESS
}
