package org.lavenderwick.core.store;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Revisions of the store that are qualified by their era. A store that comes back from a copy starts a new era, and it
 * gives out again the revisions that it lost. A qualified revision is a number that grows all the same, so that it
 * can be compared with any other one and serve as a fencing token. In the first era it equals the plain revision.
 */
public final class EraRevision {

    /** The era of a store that has never come back from a copy. */
    public static final long FIRST_ERA = 1;

    /** Leaves room for 68 billion changes in an era, and for 131,071 eras in 53 bits, which any JSON parser keeps. */
    private static final int REVISION_BITS = 36;

    private static final long MAX_REVISION = (1L << REVISION_BITS) - 1;

    private EraRevision() {}

    /**
     * Returns a qualified revision.
     *
     * @param era the era, at least {@link #FIRST_ERA}
     * @param revision the plain revision; 0 for one that is below all revisions of the era
     * @throws IllegalArgumentException if the era or the revision is out of range
     */
    public static long of(long era, long revision) {
        checkArgument(era >= FIRST_ERA, "era is %s, expected at least %s", era, FIRST_ERA);
        checkArgument(
                revision >= 0 && revision <= MAX_REVISION, "revision is %s, expected 0 to %s", revision, MAX_REVISION);
        return ((era - FIRST_ERA) << REVISION_BITS) + revision;
    }

    /** Returns the era of a qualified revision. */
    public static long era(long qualified) {
        return (qualified >> REVISION_BITS) + FIRST_ERA;
    }

    /** Returns the plain revision of a qualified one. */
    public static long revision(long qualified) {
        return qualified & MAX_REVISION;
    }
}
