package org.lavenderwick.core.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * The owners that have left requests of this daemon without any response, as behind a partition. Sessions are opened at
 * other owners meanwhile, so that their callers do not wait for the timeout of each attempt. An owner is tried again
 * after a while, because nothing is sent to it that it could respond to. Not thread-safe.
 *
 * @param <O> what identifies an owner
 */
public final class UnresponsiveOwners<O> {

    /** Time without any response; above the pauses of a busy host, and below the timeout of a statement. */
    static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(600);

    /** Time after which an owner is tried again. */
    static final Duration RETRY_INTERVAL = Duration.ofSeconds(3);

    private final Map<O, Duration> waitingSince = new HashMap<>();

    private UnresponsiveOwners() {}

    /** Returns the state of a daemon that has sent no requests. */
    public static <O> UnresponsiveOwners<O> create() {
        return new UnresponsiveOwners<>();
    }

    /** Records that a request was sent to an owner. */
    public void onRequestSent(O owner, Duration now) {
        waitingSince.compute(
                owner, (name, since) -> since == null || now.minus(since).compareTo(RETRY_INTERVAL) >= 0 ? now : since);
    }

    /** Records that an owner has responded to any request. */
    public void onResponse(O owner) {
        waitingSince.remove(owner);
    }

    /** Returns whether an owner has left requests without any response, and is not due to be tried again. */
    public boolean isUnresponsive(O owner, Duration now) {
        Duration since = waitingSince.get(owner);
        if (since == null) {
            return false;
        }
        Duration waited = now.minus(since);
        return waited.compareTo(RESPONSE_TIMEOUT) > 0 && waited.compareTo(RETRY_INTERVAL) < 0;
    }
}
