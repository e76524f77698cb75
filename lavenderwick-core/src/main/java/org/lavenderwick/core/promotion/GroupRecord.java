package org.lavenderwick.core.promotion;

import java.util.List;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.Term;

/**
 * The platform's record of a database group, changed only by compare-and-swap.
 *
 * @param term the newest term
 * @param primary primary of the term; in state {@code PROMOTING} the candidate for it
 * @param state how far the promotion has come
 * @param termStarts where the recent terms began, oldest first
 * @param fencingToken token of the coordinator's lease that wrote the record
 * @param operationId id of the write, by which a writer recognises its own write after a lost answer
 * @param planned whether the running change of primary was ordered by an operator
 * @param target endpoint that a planned change promotes; empty for any
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

    /** Copies the list. */
    public GroupRecord {
        termStarts = ImmutableList.copyOf(termStarts);
    }
}
