package org.lavenderwick.core.failover;

import java.time.Duration;
import java.util.Optional;

import org.lavenderwick.core.store.EraRevision;

/**
 * Decides how a group gets into the term record of a new era of the store, in which the record of the era before no
 * longer counts. That record may be an older copy, so it proves nothing. What it says, and what daemons remember of
 * later ones, only shows where to begin.
 *
 * <p>A primary that all endpoints of the group confirm continues to serve: a failover of the era before would show in
 * their promises. Otherwise the term is recorded as closing, and a failover of the new era finds the primary.
 */
public final class TermInheritance {

    /** Time for all endpoints to confirm the primary; several rounds of status requests. */
    static final Duration PROOF_PERIOD = Duration.ofMillis(1500);

    /**
     * Time for all endpoints to confirm a primary that all of them report already, though not all on connections that
     * are old enough for evidence. A failover would replace a primary that is well, for no shorter an interruption.
     */
    static final Duration AGEING_PERIOD = PROOF_PERIOD.plus(FailoverTimings.DEFAULTS.minConnectionAge());

    private TermInheritance() {}

    /**
     * Returns the term with which the group is to be recorded now; empty to wait.
     *
     * @param era the new era
     * @param inherited the last known term of the group from earlier eras; empty if none is known
     * @param provenByEndpoints the primary that all endpoints of the group have confirmed; empty if they have not
     * @param reported the primary that the newest reports of all endpoints agree on, whether or not they are evidence
     * @param since when this daemon learned that the group is not in the record of the new era
     */
    public static Optional<GroupTerm> termToRecord(
            long era,
            Optional<GroupTerm> inherited,
            Optional<ProvenPrimary> provenByEndpoints,
            Optional<ProvenPrimary> reported,
            Duration since,
            Duration now) {
        // Above the fencing tokens of all earlier eras, and below those of the new one.
        long fencingToken = EraRevision.of(era, 0);
        Optional<ProvenPrimary> proven = provenByEndpoints.filter(found -> mayContinue(found, inherited, since));
        if (proven.isPresent()) {
            return Optional.of(
                    GroupTerm.open(proven.get().primary(), proven.get().term(), fencingToken));
        }
        boolean proofExpected =
                reported.filter(found -> mayContinue(found, inherited, since)).isPresent();
        if (now.minus(since).compareTo(proofExpected ? AGEING_PERIOD : PROOF_PERIOD) < 0) {
            return Optional.empty();
        }
        // The copy may not show the last promotions that were requested.
        return inherited.map(term -> term.withPhase(
                        term.phase() == TermPhase.PROMOTING ? TermPhase.PROMOTING : TermPhase.CLOSING,
                        term.primary(),
                        fencingToken)
                .withRequestedTerm(term.highestRequestedTerm() + PromotionRequests.UNRECORDED_REQUESTS));
    }

    private static boolean mayContinue(ProvenPrimary found, Optional<GroupTerm> inherited, Duration since) {
        return found.provenAt().compareTo(since) >= 0 && (inherited.isEmpty() || isConsistent(inherited.get(), found));
    }

    /**
     * Returns whether a primary may continue although an earlier term is known. A promotion that was requested may
     * still take effect, unless it is the one that did.
     */
    private static boolean isConsistent(GroupTerm inherited, ProvenPrimary proven) {
        return inherited.phase() == TermPhase.PROMOTING
                ? proven.primary().equals(inherited.primary()) && proven.term() > inherited.term()
                : proven.term() >= inherited.term();
    }
}
