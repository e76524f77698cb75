package org.lavenderwick.core.propagation;

import java.time.Duration;

/**
 * The version of the store content that a daemon has: its revision, and until when it is known to have been the newest
 * one. Several sources may deliver changes at the same time; a version decides which deliveries are new. Not
 * thread-safe.
 */
public final class ContentVersion {

    /** The revision of a daemon that has no content yet. */
    public static final long NONE = -1;

    private long revision = NONE;
    private Duration currentAt = Duration.ofSeconds(Long.MIN_VALUE);

    private ContentVersion() {}

    /** Returns a version without content. */
    public static ContentVersion create() {
        return new ContentVersion();
    }

    /**
     * Records a delivery and returns whether its changes must be applied. Changes since an earlier revision may be
     * delivered again by another source, so only the revision after them counts. A revision never goes back, as it
     * is qualified by the era of the store.
     *
     * @param complete whether the delivery is the entire content rather than changes to content that this daemon has
     * @param deliveredRevision the revision after the changes
     * @param knownAt monotonic time at which that revision was known to be the newest one
     */
    public boolean accept(boolean complete, long deliveredRevision, Duration knownAt) {
        if (deliveredRevision < revision || (revision == NONE && !complete)) {
            return false;
        }
        boolean newer = deliveredRevision > revision;
        revision = deliveredRevision;
        currentAt = knownAt.compareTo(currentAt) > 0 ? knownAt : currentAt;
        return newer;
    }

    /** Returns whether this daemon has content. */
    public boolean isKnown() {
        return revision != NONE;
    }

    /** Returns the revision of the content, {@link #NONE} if there is none. */
    public long revision() {
        return revision;
    }

    /** Returns the monotonic time at which the content was last known to be the newest; far in the past if unknown. */
    public Duration currentAt() {
        return currentAt;
    }
}
