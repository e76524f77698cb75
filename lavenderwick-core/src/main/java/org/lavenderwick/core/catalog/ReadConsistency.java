package org.lavenderwick.core.catalog;

/** What the reads of a database must have seen. */
public enum ReadConsistency {
    /** Every commit acknowledged before the read; only the primary answers. */
    PRIMARY,
    /** Every commit acknowledged longer ago than the accepted age. */
    BOUNDED,
    /** As {@link #BOUNDED}, and every commit of the same session. */
    READ_YOUR_WRITES
}
