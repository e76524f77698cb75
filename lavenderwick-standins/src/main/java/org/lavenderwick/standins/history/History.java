package org.lavenderwick.standins.history;

import java.util.List;

import com.google.common.collect.ImmutableList;

/**
 * Everything that callers and endpoints recorded in one run, with times of one clock.
 *
 * @param operations what callers saw
 * @param writes what committed at primaries
 * @param openings the terms after the first of each group
 */
public record History(List<CallerOperation> operations, List<AppliedWrite> writes, List<TermOpening> openings) {

    /** Copies the lists. */
    public History {
        operations = ImmutableList.copyOf(operations);
        writes = ImmutableList.copyOf(writes);
        openings = ImmutableList.copyOf(openings);
    }
}
