package org.lavenderwick.core.failover;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.lavenderwick.core.catalog.EndpointEntry;
import org.lavenderwick.core.catalog.EndpointRole;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;

/**
 * Decides when a daemon starts a failover of a group: there is a reason to replace the primary, it has lasted long
 * enough, and the daemons before this one in the {@link ActingOrder} have had their time.
 *
 * <p>Answers a primary that is lost while the whole fleet sees it at the same moment, and a failover whose daemon stops
 * on the way. Confined to one thread.
 */
public final class FailoverTrigger {

    /** Wait for each owner of the group before this daemon. */
    public static final Duration STEP = Duration.ofMillis(40);

    /** Time for which the recorded primary must be registered as a replica before that alone starts a failover. */
    private static final Duration CONTRADICTION_DELAY = Duration.ofMillis(1500);

    /** Time without progress after which a daemon tries to take over a failover whose lock is held. */
    private static final Duration STALL_TIMEOUT = Duration.ofMillis(3500);

    /** Time after which a daemon tries to take over an unfinished failover whose lock is not held. */
    private static final Duration TAKEOVER_DELAY = Duration.ofMillis(200);

    /** Time for which other daemons go first; enough for the turns of all owners. */
    private static final Duration HAND_OVER_TIME = Duration.ofSeconds(2);

    /** Minimum time between two failovers of a group that a daemon starts. */
    private static final Duration ATTEMPT_INTERVAL = Duration.ofMillis(700);

    /**
     * What a daemon sees of a group.
     *
     * @param term the current term of the group in the term record
     * @param members the endpoints of the group
     * @param votedOut whether this daemon and enough others have voted that they cannot reach the primary
     * @param locked whether a daemon holds the failover lock of the group
     * @param awaiting whether the daemon that holds the lock waits for endpoints, which may take any time
     */
    public record Situation(
            GroupTerm term,
            Map<EndpointName, EndpointEntry> members,
            boolean votedOut,
            boolean locked,
            boolean awaiting) {

        /** Creates the situation of a group whose failover, if there is one, makes progress. */
        public Situation(GroupTerm term, Map<EndpointName, EndpointEntry> members, boolean votedOut, boolean locked) {
            this(term, members, votedOut, locked, false);
        }
    }

    /** The reason to replace the primary of a term, and since when it has applied. */
    private record Reason(String text, GroupTerm term, Duration since) {}

    private final Map<GroupName, Reason> reasons = new HashMap<>();
    private final Map<GroupName, Duration> lastAttemptAt = new HashMap<>();

    private final Map<GroupName, Duration> deferredUntil = new HashMap<>();

    private FailoverTrigger() {}

    /** Returns a trigger that has not seen any reason yet. */
    public static FailoverTrigger create() {
        return new FailoverTrigger();
    }

    /** Records that a failover of this daemon waited in vain, so that other daemons go first for a while. */
    public void onHandedOver(GroupName group, Duration now) {
        deferredUntil.put(group, now.plus(HAND_OVER_TIME));
    }

    /**
     * Returns the reason for a failover if one is to be started now. Counts as an attempt.
     *
     * @param turn how long this daemon waits for the daemons before it
     * @param running whether this daemon already runs a failover of the group
     */
    public Optional<String> due(GroupName group, Situation situation, Duration turn, boolean running, Duration now) {
        Optional<String> text = replacementReason(situation);
        if (text.isEmpty()) {
            reasons.remove(group);
            return text;
        }
        Reason reason = reasons.get(group);
        if (reason == null
                || !reason.text().equals(text.get())
                || !reason.term().equals(situation.term())) {
            reason = new Reason(text.get(), situation.term(), now);
            reasons.put(group, reason);
        }
        Duration delay = startDelay(situation).plus(turn);
        Duration attemptedAt = lastAttemptAt.get(group);
        boolean recent =
                attemptedAt != null && attemptedAt.plus(ATTEMPT_INTERVAL).compareTo(now) > 0;
        boolean waits = situation.locked() && situation.awaiting();
        boolean deferred = deferredUntil.getOrDefault(group, now).compareTo(now) > 0;
        if (running || recent || waits || deferred || reason.since().plus(delay).compareTo(now) > 0) {
            return Optional.empty();
        }
        lastAttemptAt.put(group, now);
        return text;
    }

    private static Optional<String> replacementReason(Situation situation) {
        EndpointEntry primary = situation.members().get(situation.term().primary());
        if (situation.members().isEmpty()) {
            return Optional.empty();
        } else if (situation.term().phase() != TermPhase.OPEN) {
            return Optional.of("an earlier failover did not end");
        } else if (primary == null) {
            return Optional.of("the primary has left the directory");
        } else if (primary.draining()) {
            return Optional.of("the primary is leaving");
        } else if (situation.votedOut()) {
            return Optional.of("a majority of the daemons cannot reach the primary");
        } else if (primary.role() == EndpointRole.REPLICA) {
            return Optional.of("the primary has become a replica");
        }
        return Optional.empty();
    }

    private static Duration startDelay(Situation situation) {
        if (situation.term().phase() != TermPhase.OPEN) {
            return situation.locked() ? STALL_TIMEOUT : TAKEOVER_DELAY;
        }
        EndpointEntry primary = situation.members().get(situation.term().primary());
        boolean roleDiffers = primary != null && !primary.draining() && !situation.votedOut();
        return roleDiffers ? CONTRADICTION_DELAY : Duration.ZERO;
    }
}
