package org.lavenderwick.core.promotion;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.core.model.Term;

/** The changes of a group record, as pure functions. */
final class RecordTransitions {

    /** Recent terms kept in a record; at one change of primary an hour they reach back more than two days. */
    static final int MAX_TERM_STARTS = 64;

    private RecordTransitions() {}

    /** Returns the record that closes its term. */
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

    /** Returns the same record under the token of another coordinator. */
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

    /** Returns the record that names the candidate of the next term. */
    static GroupRecord promote(GroupRecord record, CandidateChoice choice, long token, String operation) {
        Term next = record.term().next();
        return new GroupRecord(
                next,
                choice.candidate(),
                GroupState.PROMOTING,
                withStart(record.termStarts(), new TermStart(next, choice.start())),
                token,
                operation,
                choice.planned(),
                choice.planned() ? record.target() : Optional.empty());
    }

    /** Returns the record that opens its term. */
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
     * Returns the part of a log that belongs to the history of the group: up to the start of every later term. What a
     * replaced primary wrote past that was dropped when the later term began.
     */
    static LogPoint common(LogPoint point, List<TermStart> termStarts) {
        long position = point.position();
        for (TermStart start : termStarts) {
            if (start.term().isAfter(point.term())) {
                position = Math.min(position, start.position());
            }
        }
        return new LogPoint(point.term(), position);
    }

    /**
     * Adds a start. When the list is full, a start that is not below the next one goes first, because it bounds no log
     * that the next one does not bound. The oldest start shows how far the list reaches back, so it goes last.
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
