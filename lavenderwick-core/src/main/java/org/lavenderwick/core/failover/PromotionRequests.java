package org.lavenderwick.core.failover;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import com.google.common.collect.ImmutableSet;
import io.vavr.control.Either;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.EndpointName;

/**
 * The promotion requests that may have begun terms since the last open one, sent by one failover or by those that it
 * continues. Confined to one thread.
 *
 * <p>A request may take effect although no response came and although this daemon cannot reach the new primary, so
 * reports do not tell which terms have begun. A promise ends only evidence for primaries of earlier terms. Therefore
 * each request is recorded before it is sent, together with the highest term that it may begin, and the promises that
 * precede another request are for a later term than that.
 */
public class PromotionRequests {

    /**
     * Number of terms that are assumed to have begun if the record does not tell how many requests were sent: it was
     * written by a daemon of an earlier version, or the store has come back from an older copy.
     */
    static final long UNRECORDED_REQUESTS = 1000;

    private long closedTerm;
    private long highestTerm;
    private long lowestConfirmingTerm;
    private EndpointName latestCandidate;
    private boolean isLatestOfEarlierRun;
    private boolean isNextRecorded;
    private final Set<EndpointName> refusedCandidates = new HashSet<>();

    /** Creates an instance without requests. Subclasses disable single safeguards in simulations. */
    PromotionRequests() {}

    /** Returns an instance without requests. */
    public static PromotionRequests none() {
        return new PromotionRequests();
    }

    /**
     * Begins with what the term record says of earlier requests. Called again if the record was not closed.
     *
     * @param found the term that was read before this failover closed it
     */
    void continueAfter(GroupTerm found) {
        closedTerm = found.term();
        highestTerm = found.highestRequestedTerm();
        isLatestOfEarlierRun = found.phase() == TermPhase.PROMOTING;
        latestCandidate = isLatestOfEarlierRun ? found.primary() : null;
        if (isLatestOfEarlierRun && highestTerm == closedTerm) {
            highestTerm += UNRECORDED_REQUESTS;
        }
        lowestConfirmingTerm = mayHaveBegunTerm() ? closedTerm + 1 : closedTerm;
    }

    /** Returns whether an endpoint may lead a later term than the closed one without this daemon knowing it. */
    boolean mayHaveBegunTerm() {
        return highestTerm > closedTerm;
    }

    /** Returns the term that the failover closed. */
    long closedTerm() {
        return closedTerm;
    }

    /** Returns the highest term that a request may have begun; the closed term if none was sent. */
    long highestTerm() {
        return highestTerm;
    }

    /** Returns the candidate of the latest request that was recorded; empty if there is none. */
    Optional<EndpointName> latestCandidate() {
        return Optional.ofNullable(latestCandidate);
    }

    /** Returns whether the term record tells the latest request, or that there was none. */
    boolean isLatestKnown() {
        return highestTerm < closedTerm + UNRECORDED_REQUESTS;
    }

    /** Returns the latest candidate if a run before this one recorded it. */
    Optional<EndpointName> candidateOfEarlierRun() {
        return latestCandidate().filter(name -> isLatestOfEarlierRun);
    }

    /**
     * Returns the lowest term in which the latest candidate may lead so that its promotion is over. That is the closed
     * term if the candidate is its primary and no other endpoint was requested to be promoted.
     */
    long lowestConfirmingTerm() {
        return lowestConfirmingTerm;
    }

    /** Returns the highest term that a further request may begin, if its promises are for the given term. */
    long nextTerm(long promisedTerm) {
        return Math.max(highestTerm + 1, promisedTerm);
    }

    /** Records that the term record names a candidate and the highest term that the request for it may begin. */
    void onRecorded(EndpointName candidate, long term) {
        if (latestCandidate().filter(earlier -> !earlier.equals(candidate)).isPresent()) {
            lowestConfirmingTerm = closedTerm + 1;
            isLatestOfEarlierRun = false;
        }
        latestCandidate = candidate;
        highestTerm = Math.max(highestTerm, term);
        isNextRecorded = true;
    }

    /** Returns whether the next request is recorded, so that it may be sent. */
    boolean isNextRecorded() {
        return isNextRecorded;
    }

    /**
     * Records the answer to a request for the latest candidate. Unless the platform was too busy, the request may take
     * effect, and a further one must be recorded before it is sent.
     */
    void onAnswer(Either<Failure, PromotionAnswer> answer) {
        isNextRecorded = answer.contains(PromotionAnswer.BUSY);
        if (answer.contains(PromotionAnswer.REFUSED)) {
            refusedCandidates.add(latestCandidate);
        }
    }

    /** Returns the candidates whose promotion was refused, except those that were forgotten. */
    Set<EndpointName> refusedCandidates() {
        return ImmutableSet.copyOf(refusedCandidates);
    }

    /** Makes candidates whose promotion was refused eligible again. */
    void forgetRefusals() {
        refusedCandidates.clear();
    }
}
