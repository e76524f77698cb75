package org.lavenderwick.core.error;

/** Whether the caller may send a failed request again. */
public enum Retryability {
    /** A repeat is safe and may succeed. */
    SAFE,
    /** A repeat is safe only if the request carries an idempotency key. */
    WITH_IDEMPOTENCY_KEY,
    /** A repeat fails in the same way until the caller changes the request. */
    USELESS
}
