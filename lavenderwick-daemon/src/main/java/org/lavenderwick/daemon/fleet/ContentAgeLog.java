package org.lavenderwick.daemon.fleet;

import java.time.Duration;

import org.jboss.logging.Logger;
import org.lavenderwick.core.propagation.ContentStatus;

/**
 * The log of the times in which the content that a daemon works with may lack a change that has to be in force.
 * Confined to one thread.
 */
final class ContentAgeLog {

    private static final Logger LOG = Logger.getLogger(ContentAgeLog.class);

    private final Duration maxChangeDelay;
    private boolean outdated;
    private Duration outdatedSince;

    /**
     * Creates a log.
     *
     * @param maxChangeDelay time within which a change of the store must be in force
     */
    ContentAgeLog(Duration maxChangeDelay) {
        this.maxChangeDelay = maxChangeDelay;
    }

    /** Logs if the content has become older than the maximum change delay, or is recent again. */
    void check(ContentStatus content, Duration now) {
        if (!content.isKnown() || outdated == content.age(now).compareTo(maxChangeDelay) > 0) {
            return;
        }
        outdated = !outdated;
        if (outdated) {
            outdatedSince = now;
            LOG.warnf(
                    "[fleet] Changes older than %d ms may be missing here: %s.",
                    maxChangeDelay.toMillis(), content.describe(now));
        } else {
            LOG.infof(
                    "[fleet] The store content is recent again after %d ms: %s.",
                    now.minus(outdatedSince).toMillis(), content.describe(now));
        }
    }
}
