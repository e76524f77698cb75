package org.lavenderwick.core.dispatch;

import java.time.Duration;

/**
 * Decides whether an endpoint has stopped to answer: it owes an answer for long and has given none meanwhile. Closing
 * the connections that owe answers does not end the silence; only an answer does. Confined to one thread.
 */
public final class UnresponsiveEndpointDetector {

    private final Duration patience;
    private Duration owedSince;

    private UnresponsiveEndpointDetector(Duration patience) {
        this.patience = patience;
    }

    /** Returns a detector for an endpoint that owes nothing. */
    public static UnresponsiveEndpointDetector create(Duration patience) {
        return new UnresponsiveEndpointDetector(patience);
    }

    /** Records that the endpoint was asked for something. */
    public void onRequestSent(Duration now) {
        if (owedSince == null) {
            owedSince = now;
        }
    }

    /**
     * Records that the endpoint gave an answer.
     *
     * @param stillOwed whether it owes others
     */
    public void onResponse(Duration now, boolean stillOwed) {
        owedSince = stillOwed ? now : null;
    }

    /** Returns whether the endpoint is silent. */
    public boolean isUnresponsive(Duration now) {
        return owedSince != null && now.minus(owedSince).compareTo(patience) > 0;
    }
}
