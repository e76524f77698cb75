package org.lavenderwick.core.promotion;

import java.util.List;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.Term;

/**
 * The persistent record of a database group's term and primary. The platform stores it and changes it only by
 * compare-and-swap.
 *
 * @param term newest term of the group
 * @param primary primary of the term; in state {@code PROMOTING}, the candidate
 * @param state state of the term
 * @param termStarts starts of the recent terms, oldest first
 * @param fencingToken fencing token of the coordinator that wrote the record
 * @param operationId id of the write, which lets a coordinator recognize its own write after a lost response
 * @param planned whether the promotion in progress is a planned switchover
 * @param target endpoint that a switchover must promote, or empty if it may promote any
 */
public record GroupRecord(
        Term term,
        EndpointName primary,
        GroupState state,
        List<TermStart> termStarts,
        long fencingToken,
        String operationId,
        boolean planned,
        Optional<EndpointName> target) {

    /** Makes an immutable copy of {@code termStarts}. */
    public GroupRecord {
        termStarts = ImmutableList.copyOf(termStarts);
    }
}
