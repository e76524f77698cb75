package org.lavenderwick.core.promotion;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.Term;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Evidence of one daemon that the current term of a database group has not been replaced. There are two sources, and
 * either is sufficient: the platform's record is open with the term, or a majority of the endpoints has not promised a
 * later term. Evidence counts for {@link PromotionTimings#evidenceMaxAge()} from the monotonic time that was read
 * before its question was sent.
 *
 * <p>What is known only grows, so answers may be recorded late, twice and in any order. All methods are linear in the
 * number of endpoints, up to a sort. This class is thread-safe.
 */
public final class TermEvidence {

    /** Evidence is renewed when a third of its life is left, which leaves time for one lost question. */
    private static final int RENEWAL_FRACTION = 3;

    /** Time after which an unanswered question is asked again. */
    private static final Duration ASK_AGAIN = Duration.ofMillis(200);

    /** Head start of the endpoints over the platform, whose calls are counted. */
    private static final Duration PLATFORM_AFTER = Duration.ofMillis(50);

    private static final long NEVER = Long.MIN_VALUE;

    private final List<EndpointName> endpoints;
    private final int majority;
    private final long maxAge;
    private final long renewBefore;

    private volatile Snapshot snapshot;

    /* The fields below are guarded by this; they only limit how often a question is asked. */
    private final long[] endpointAskedAt;
    private long platformAskedAt = NEVER;
    private long missingSince = NEVER;

    private TermEvidence(List<EndpointName> endpoints, PromotionTimings timings) {
        this.endpoints = ImmutableList.copyOf(endpoints);
        checkArgument(!endpoints.isEmpty(), "a group needs an endpoint");
        checkArgument(ImmutableSet.copyOf(endpoints).size() == endpoints.size(), "endpoint named twice: %s", endpoints);
        this.majority = endpoints.size() / 2 + 1;
        this.maxAge = timings.evidenceMaxAge().toNanos();
        this.renewBefore = maxAge / RENEWAL_FRACTION;
        this.snapshot = Snapshot.empty(endpoints.size());
        this.endpointAskedAt = new long[endpoints.size()];
        Arrays.fill(endpointAskedAt, NEVER);
    }

    /** Returns a holder without evidence for a group with the given endpoints. */
    public static TermEvidence create(List<EndpointName> endpoints, PromotionTimings timings) {
        return new TermEvidence(endpoints, timings);
    }

    /**
     * Records an answer of the platform.
     *
     * @param record the group record in the answer
     * @param askedAt monotonic time read before the question was sent
     */
    public synchronized void recordPlatformResponse(GroupRecord record, Duration askedAt) {
        snapshot = snapshot.withPlatform(record.term().number(), stage(record.state()), askedAt.toNanos());
    }

    /**
     * Records the promised term in an answer of an endpoint. Endpoints outside the group are ignored.
     *
     * @param endpoint who answered
     * @param promisedTerm newest term that it promised
     * @param askedAt monotonic time read before the question was sent
     */
    public synchronized void recordEndpointResponse(EndpointName endpoint, Term promisedTerm, Duration askedAt) {
        int index = endpoints.indexOf(endpoint);
        if (index >= 0) {
            snapshot = snapshot.withVote(index, promisedTerm.number(), askedAt.toNanos());
        }
    }

    /** Returns whether a write of the term may be acknowledged at the given monotonic time, read after its answer. */
    public boolean mayAcknowledge(Term term, Duration now) {
        long askedAt = newestQuestion(term);
        return askedAt != NEVER && now.toNanos() - askedAt <= maxAge;
    }

    /** Returns the last moment at which what is known now allows to acknowledge writes of the term. */
    public Optional<Duration> validUntil(Term term) {
        long askedAt = newestQuestion(term);
        return askedAt == NEVER ? Optional.empty() : Optional.of(Duration.ofNanos(askedAt + maxAge));
    }

    /**
     * Returns the questions to send now so that writes of the term can be acknowledged, and notes them as asked. The
     * endpoints are asked first; the platform only if their answers do not bring the evidence soon or cannot bring it.
     */
    public synchronized EvidenceRequests dueRequests(Term term, Duration now) {
        long time = now.toNanos();
        long askedAt = newestQuestion(term);
        if (askedAt != NEVER && askedAt + maxAge - time > renewBefore) {
            missingSince = NEVER;
            return EvidenceRequests.NONE;
        }
        if (missingSince == NEVER) {
            missingSince = time;
        }
        Snapshot known = snapshot;
        ImmutableSet.Builder<EndpointName> due = ImmutableSet.builder();
        int possibleVotes = 0;
        for (int i = 0; i < endpoints.size(); i++) {
            if (known.promised[i] > term.number()) {
                continue;
            }
            possibleVotes++;
            boolean fresh = known.votedAt[i] != NEVER && known.votedAt[i] + maxAge - time > renewBefore;
            if (!fresh && isDue(endpointAskedAt[i], time)) {
                endpointAskedAt[i] = time;
                due.add(endpoints.get(i));
            }
        }
        boolean votesFail = possibleVotes < majority || time - missingSince >= PLATFORM_AFTER.toNanos();
        boolean platform = votesFail && !known.platformIsPast(term.number()) && isDue(platformAskedAt, time);
        if (platform) {
            platformAskedAt = time;
        }
        return new EvidenceRequests(platform, due.build());
    }

    private static boolean isDue(long lastAskedAt, long now) {
        return lastAskedAt == NEVER || now - lastAskedAt >= ASK_AGAIN.toNanos();
    }

    /** Returns the question time on which the better source for the term rests, or {@link #NEVER}. */
    private long newestQuestion(Term term) {
        Snapshot known = snapshot;
        return Math.max(known.platformQuestion(term.number()), known.majorityQuestion(term.number(), majority));
    }

    /** Orders the states of one term: a term is first tried, then in use, then closed, and may skip the middle. */
    private static int stage(GroupState state) {
        return switch (state) {
            case PROMOTING -> 0;
            case OPEN -> Snapshot.STAGE_OPEN;
            case CLOSING -> 2;
        };
    }

    /** Immutable knowledge. The arrays are indexed by endpoint and never change after construction. */
    private static final class Snapshot {
        private static final int STAGE_OPEN = 1;

        private final long term;
        private final int stage;
        private final long platformAt;
        private final long[] promised;
        private final long[] votedAt;
        /** What was known before the newest change, so that evidence for the term before keeps its full life. */
        private final Former former;

        private Snapshot(long term, int stage, long platformAt, long[] promised, long[] votedAt, Former former) {
            this.term = term;
            this.stage = stage;
            this.platformAt = platformAt;
            this.promised = promised;
            this.votedAt = votedAt;
            this.former = former;
        }

        private static Snapshot empty(int size) {
            long[] votedAt = new long[size];
            Arrays.fill(votedAt, NEVER);
            return new Snapshot(-1, 0, NEVER, new long[size], votedAt, new Former(-1, NEVER, new long[size], votedAt));
        }

        private Snapshot withPlatform(long newTerm, int newStage, long askedAt) {
            int order = newTerm != term ? Long.compare(newTerm, term) : Integer.compare(newStage, stage);
            if (order < 0) {
                return this;
            }
            long at = order == 0 ? Math.max(platformAt, askedAt) : askedAt;
            boolean ends = stage == STAGE_OPEN && order > 0;
            Former kept = ends ? new Former(term, platformAt, former.promised, former.votedAt) : former;
            return new Snapshot(newTerm, newStage, at, promised, votedAt, kept);
        }

        /** Both maxima are sound: an answer with a lower promise is also a vote for every later term. */
        private Snapshot withVote(int index, long promisedTerm, long askedAt) {
            long[] newPromised = promised.clone();
            long[] newVotedAt = votedAt.clone();
            newPromised[index] = Math.max(promised[index], promisedTerm);
            newVotedAt[index] = Math.max(votedAt[index], askedAt);
            Former kept = promisedTerm > promised[index] ? former.withVote(index, this) : former;
            return new Snapshot(term, stage, platformAt, newPromised, newVotedAt, kept);
        }

        private long platformQuestion(long wanted) {
            if (term == wanted && stage == STAGE_OPEN) {
                return platformAt;
            }
            return former.openTerm == wanted ? former.platformAt : NEVER;
        }

        private boolean platformIsPast(long wanted) {
            return term > wanted || term == wanted && stage > STAGE_OPEN;
        }

        /** Returns the oldest question among the newest votes that make a majority. */
        private long majorityQuestion(long wanted, int majority) {
            long[] times = new long[votedAt.length];
            for (int i = 0; i < times.length; i++) {
                long before = former.promised[i] <= wanted ? former.votedAt[i] : NEVER;
                times[i] = promised[i] <= wanted ? votedAt[i] : before;
            }
            Arrays.sort(times);
            return times[times.length - majority];
        }
    }

    /**
     * The last knowledge before a promise rose or the record left the open state. An answer counts from its question,
     * and the coordinator waits for its full life, so a later answer takes nothing from it: work in flight during a
     * planned change of primary is acknowledged by it.
     */
    private static final class Former {
        private final long openTerm;
        private final long platformAt;
        private final long[] promised;
        private final long[] votedAt;

        private Former(long openTerm, long platformAt, long[] promised, long[] votedAt) {
            this.openTerm = openTerm;
            this.platformAt = platformAt;
            this.promised = promised;
            this.votedAt = votedAt;
        }

        private Former withVote(int index, Snapshot before) {
            long[] newPromised = promised.clone();
            long[] newVotedAt = votedAt.clone();
            newPromised[index] = before.promised[index];
            newVotedAt[index] = before.votedAt[index];
            return new Former(openTerm, platformAt, newPromised, newVotedAt);
        }
    }
}
