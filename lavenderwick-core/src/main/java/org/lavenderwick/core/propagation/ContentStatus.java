package org.lavenderwick.core.propagation;

import java.time.Duration;

import static com.google.common.base.Preconditions.checkState;

/**
 * What a daemon knows about the store content that its answers are based on.
 *
 * @param revision the revision of the content, {@link ContentVersion#NONE} if there is none
 * @param currentAt monotonic time at which the content was last known to be the newest; far in the past if unknown
 * @param source the source that showed this, for people
 */
public record ContentStatus(long revision, Duration currentAt, String source) {

    /** The status of a daemon that has no content yet. */
    public static final ContentStatus NONE =
            new ContentStatus(ContentVersion.NONE, Duration.ofSeconds(Long.MIN_VALUE), "no source");

    /** Returns whether there is any content. */
    public boolean isKnown() {
        return revision != ContentVersion.NONE;
    }

    /**
     * Returns the time since the content was last known to be the newest.
     *
     * @throws IllegalStateException if there is no content
     */
    public Duration age(Duration now) {
        checkState(isKnown(), "there is no store content that could have an age");
        return now.minus(currentAt);
    }

    /** Returns a description of the content and its age in milliseconds for the log. */
    public String describe(Duration now) {
        return isKnown()
                ? "store content of revision %d, known to be the newest %d ms ago by %s"
                        .formatted(revision, age(now).toMillis(), source)
                : "no store content";
    }
}
