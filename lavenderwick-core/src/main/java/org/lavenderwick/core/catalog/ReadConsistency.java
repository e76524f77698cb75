package org.lavenderwick.core.catalog;

/** The consistency of reads from a database, as the set of commits that a read must reflect. */
public enum ReadConsistency {
    /** Every commit acknowledged before the read; only the primary serves reads. */
    PRIMARY,
    /** Every commit acknowledged longer ago than the maximum staleness. */
    BOUNDED,
    /** As {@link #BOUNDED}, and every earlier commit of the same session. */
    READ_YOUR_WRITES
}
