package org.lavenderwick.core.routing;

import java.util.List;

import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.core.promotion.TermStart;

/** Which points of earlier terms are still part of the log after promotions. */
public final class TermHistory {

    private TermHistory() {}

    /**
     * Returns whether the entry at the point is still in the log: its position is at most the start of every later
     * term. A point so old that a term after it is missing from the list counts as lost, since nothing shows otherwise.
     * Linear in the number of terms.
     *
     * @param point the point, as from a session token
     * @param termStarts where the recent terms began, without gaps, oldest first; empty if there was no promotion yet
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
     * Returns whether an endpoint at one point has the entry at another, given that both points survive. An endpoint
     * still in an earlier term never counts, whatever its position: its entries there may be others.
     */
    public static boolean covers(LogPoint endpoint, LogPoint needed) {
        return !needed.term().isAfter(endpoint.term()) && endpoint.position() >= needed.position();
    }
}
