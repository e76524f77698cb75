package org.lavenderwick.core.routing;

import java.util.List;

import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.core.promotion.TermStart;

/** Rules that decide which log entries of earlier terms are still in the log after promotions. */
public final class TermHistory {

    private TermHistory() {}

    /**
     * Returns whether the entry at a log point is still in the log, which is the case if no later term started before
     * it. Returns false if the list does not reach back to the term that follows the point's, because the entry cannot
     * be shown to remain. Linear in the number of terms.
     *
     * @param point the log point, for example from a session token
     * @param termStarts start positions of the most recent terms, without gaps, oldest first; empty if there was no
     *     promotion yet
     */
    public static boolean isRetained(LogPoint point, List<TermStart> termStarts) {
        if (point.position() == 0 || termStarts.isEmpty()) {
            return true;
        }
        if (termStarts.get(0).term().isAfter(point.term().next())) {
            return false;
        }
        for (TermStart start : termStarts) {
            if (start.term().isAfter(point.term()) && point.position() > start.position()) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns whether an endpoint whose log ends at {@code endpoint} has the entry at {@code needed}, given that both
     * entries are still in the log of the group. An endpoint in an earlier term does not, whatever its position,
     * because its entry at that position may differ.
     */
    public static boolean covers(LogPoint endpoint, LogPoint needed) {
        return !needed.term().isAfter(endpoint.term()) && endpoint.position() >= needed.position();
    }
}
