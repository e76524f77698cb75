package org.lavenderwick.core.promotion;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.core.model.Term;

/** Pure functions that compute the next group record of a promotion. */
final class RecordTransitions {

    /** Maximum number of term starts kept in a record. With one promotion an hour, they cover more than two days. */
    static final int MAX_TERM_STARTS = 64;

    private RecordTransitions() {}

    /** Returns the record with its term closing. */
    static GroupRecord close(
            GroupRecord record, boolean planned, Optional<EndpointName> target, long token, String operation) {
        return new GroupRecord(
                record.term(),
                record.primary(),
                GroupState.CLOSING,
                record.termStarts(),
                token,
                operation,
                planned,
                target);
    }

    /** Returns the same record with the fencing token of the coordinator that takes it over. */
    static GroupRecord claim(GroupRecord record, long token, String operation) {
        return new GroupRecord(
                record.term(),
                record.primary(),
                record.state(),
                record.termStarts(),
                token,
                operation,
                record.planned(),
                record.target());
    }

    /** Returns the record of the next term, with the candidate as its primary. */
    static GroupRecord promote(GroupRecord record, CandidateChoice choice, long token, String operation) {
        Term next = record.term().next();
        return new GroupRecord(
                next,
                choice.candidate(),
                GroupState.PROMOTING,
                withStart(record.termStarts(), new TermStart(next, choice.startPosition())),
                token,
                operation,
                choice.planned(),
                choice.planned() ? record.target() : Optional.empty());
    }

    /** Returns the record with its term open. */
    static GroupRecord open(GroupRecord record, long token, String operation) {
        return new GroupRecord(
                record.term(),
                record.primary(),
                GroupState.OPEN,
                record.termStarts(),
                token,
                operation,
                false,
                Optional.empty());
    }

    /**
     * Returns the end of the part of a log that survived all later promotions. A later term discards the entries of
     * earlier terms past its start position.
     */
    static LogPoint survivingPoint(LogPoint point, List<TermStart> termStarts) {
        long position = point.position();
        for (TermStart start : termStarts) {
            if (start.term().isAfter(point.term())) {
                position = Math.min(position, start.position());
            }
        }
        return new LogPoint(point.term(), position);
    }

    /**
     * Appends a term start, and removes one if the list then exceeds its maximum size. A start whose position is not
     * below that of its successor is redundant, because the successor truncates every log at least as far. The first
     * redundant start is removed, or the oldest start if there is none. Otherwise the oldest start is kept, because it
     * shows how far back the list reaches.
     */
    private static List<TermStart> withStart(List<TermStart> starts, TermStart added) {
        List<TermStart> result = new ArrayList<>(starts);
        result.add(added);
        if (result.size() > MAX_TERM_STARTS) {
            int redundant = 1;
            while (redundant + 1 < result.size()
                    && result.get(redundant).position()
                            < result.get(redundant + 1).position()) {
                redundant++;
            }
            result.remove(redundant + 1 < result.size() ? redundant : 0);
        }
        return ImmutableList.copyOf(result);
    }
}
