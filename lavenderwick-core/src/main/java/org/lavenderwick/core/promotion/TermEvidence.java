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
 * The evidence held by one daemon that a term of a database group has not been replaced. Writes of a term may be
 * acknowledged only while evidence for it is valid. Either of two sources suffices: the group record on the platform is
 * open with the term, or a majority of the endpoints has not promised a later term. Evidence is valid for
 * {@link PromotionTimings#evidenceMaxAge()}, counted from the monotonic time read before its request was sent.
 *
 * <p>Recorded state is monotonic, so responses may be recorded late, repeatedly and in any order. Every method takes
 * time linear in the number of endpoints, apart from one sort. This class is thread-safe.
 */
public final class TermEvidence {

    /** Evidence is renewed in the last third of its validity, which leaves time to retry one lost request. */
    private static final int RENEWAL_FRACTION = 3;

    /** Time after which a request without a response is sent again. */
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(200);

    /** Head start that the endpoints get over the platform, whose calls are counted, when fresh evidence is missing. */
    private static final Duration PLATFORM_FALLBACK_DELAY = Duration.ofMillis(50);

    private static final long NEVER = Long.MIN_VALUE;

    private final List<EndpointName> endpoints;
    private final int majority;
    private final long maxAge;
    private final long renewBefore;

    private volatile Snapshot snapshot;

    /* The fields below are guarded by this. They only limit how often requests are sent. */
    private final long[] endpointRequestedAt;
    private long platformRequestedAt = NEVER;
    private long missingSince = NEVER;

    private TermEvidence(List<EndpointName> endpoints, PromotionTimings timings) {
        this.endpoints = ImmutableList.copyOf(endpoints);
        checkArgument(!endpoints.isEmpty(), "a group must have at least one endpoint");
        checkArgument(ImmutableSet.copyOf(endpoints).size() == endpoints.size(), "duplicate endpoint in %s", endpoints);
        this.majority = endpoints.size() / 2 + 1;
        this.maxAge = timings.evidenceMaxAge().toNanos();
        this.renewBefore = maxAge / RENEWAL_FRACTION;
        this.snapshot = Snapshot.empty(endpoints.size());
        this.endpointRequestedAt = new long[endpoints.size()];
        Arrays.fill(endpointRequestedAt, NEVER);
    }

    /** Returns an instance without evidence for a group with the given endpoints. */
    public static TermEvidence create(List<EndpointName> endpoints, PromotionTimings timings) {
        return new TermEvidence(endpoints, timings);
    }

    /**
     * Records a group record read from the platform.
     *
     * @param record the group record
     * @param sentAt monotonic time read before the request was sent
     */
    public synchronized void recordPlatformResponse(GroupRecord record, Duration sentAt) {
        snapshot = snapshot.withPlatformResponse(record.term().number(), stage(record.state()), sentAt.toNanos());
    }

    /**
     * Records the promised term in a response of an endpoint. Endpoints outside the group are ignored.
     *
     * @param endpoint the endpoint that responded
     * @param promisedTerm newest term that the endpoint has promised
     * @param sentAt monotonic time read before the request was sent
     */
    public synchronized void recordEndpointResponse(EndpointName endpoint, Term promisedTerm, Duration sentAt) {
        int index = endpoints.indexOf(endpoint);
        if (index >= 0) {
            snapshot = snapshot.withEndpointResponse(index, promisedTerm.number(), sentAt.toNanos());
        }
    }

    /**
     * Returns whether a write of the term may be acknowledged.
     *
     * @param term term in which the write ran
     * @param now monotonic time read after the response to the write arrived
     */
    public boolean mayAcknowledge(Term term, Duration now) {
        long sentAt = newestEvidence(term);
        return sentAt != NEVER && now.toNanos() - sentAt <= maxAge;
    }

    /** Returns the monotonic time until which the present evidence for the term is valid, or empty if there is none. */
    public Optional<Duration> validUntil(Term term) {
        long sentAt = newestEvidence(term);
        return sentAt == NEVER ? Optional.empty() : Optional.of(Duration.ofNanos(sentAt + maxAge));
    }

    /**
     * Returns the requests to send now so that writes of the term can be acknowledged, and marks them as sent. The
     * endpoints are queried first. The platform is queried only if too few endpoints can still support the term, or if
     * their responses give no evidence within a short delay.
     */
    public synchronized EvidenceRequests dueRequests(Term term, Duration now) {
        long time = now.toNanos();
        long sentAt = newestEvidence(term);
        if (sentAt != NEVER && sentAt + maxAge - time > renewBefore) {
            missingSince = NEVER;
            return EvidenceRequests.NONE;
        }
        if (missingSince == NEVER) {
            missingSince = time;
        }
        Snapshot current = snapshot;
        ImmutableSet.Builder<EndpointName> due = ImmutableSet.builder();
        int possibleSupporters = 0;
        for (int i = 0; i < endpoints.size(); i++) {
            if (current.promised[i] > term.number()) {
                continue;
            }
            possibleSupporters++;
            boolean fresh =
                    current.endpointSentAt[i] != NEVER && current.endpointSentAt[i] + maxAge - time > renewBefore;
            if (!fresh && isDue(endpointRequestedAt[i], time)) {
                endpointRequestedAt[i] = time;
                due.add(endpoints.get(i));
            }
        }
        boolean needsPlatform =
                possibleSupporters < majority || time - missingSince >= PLATFORM_FALLBACK_DELAY.toNanos();
        boolean platform =
                needsPlatform && !current.isReplacedOnPlatform(term.number()) && isDue(platformRequestedAt, time);
        if (platform) {
            platformRequestedAt = time;
        }
        return new EvidenceRequests(platform, due.build());
    }

    private static boolean isDue(long lastSentAt, long now) {
        return lastSentAt == NEVER || now - lastSentAt >= RETRY_INTERVAL.toNanos();
    }

    /** Returns the time from which the newer evidence of the two sources counts, or {@link #NEVER} if there is none. */
    private long newestEvidence(Term term) {
        Snapshot current = snapshot;
        return Math.max(current.platformEvidence(term.number()), current.majorityEvidence(term.number(), majority));
    }

    /** Orders the states of one term: it is first promoting, then open, then closing. The open state may be skipped. */
    private static int stage(GroupState state) {
        return switch (state) {
            case PROMOTING -> 0;
            case OPEN -> Snapshot.STAGE_OPEN;
            case CLOSING -> 2;
        };
    }

    /** Immutable state of the evidence. The arrays are indexed by endpoint and never modified after construction. */
    private static final class Snapshot {
        private static final int STAGE_OPEN = 1;

        private final long term;
        private final int stage;
        private final long platformSentAt;
        private final long[] promised;
        private final long[] endpointSentAt;
        /** State before the latest change, so that evidence for the previous term stays valid for its full time. */
        private final PreviousState previous;

        private Snapshot(
                long term,
                int stage,
                long platformSentAt,
                long[] promised,
                long[] endpointSentAt,
                PreviousState previous) {
            this.term = term;
            this.stage = stage;
            this.platformSentAt = platformSentAt;
            this.promised = promised;
            this.endpointSentAt = endpointSentAt;
            this.previous = previous;
        }

        private static Snapshot empty(int size) {
            long[] endpointSentAt = new long[size];
            Arrays.fill(endpointSentAt, NEVER);
            return new Snapshot(
                    -1,
                    0,
                    NEVER,
                    new long[size],
                    endpointSentAt,
                    new PreviousState(-1, NEVER, new long[size], endpointSentAt));
        }

        private Snapshot withPlatformResponse(long newTerm, int newStage, long sentAt) {
            int order = newTerm != term ? Long.compare(newTerm, term) : Integer.compare(newStage, stage);
            if (order < 0) {
                return this;
            }
            long newSentAt = order == 0 ? Math.max(platformSentAt, sentAt) : sentAt;
            boolean leavesOpen = stage == STAGE_OPEN && order > 0;
            PreviousState kept = leavesOpen
                    ? new PreviousState(term, platformSentAt, previous.promised, previous.endpointSentAt)
                    : previous;
            return new Snapshot(newTerm, newStage, newSentAt, promised, endpointSentAt, kept);
        }

        /** Combining the maxima is sound: a response with a lower promise also shows that no later term is promised. */
        private Snapshot withEndpointResponse(int index, long promisedTerm, long sentAt) {
            long[] newPromised = promised.clone();
            long[] newSentAt = endpointSentAt.clone();
            newPromised[index] = Math.max(promised[index], promisedTerm);
            newSentAt[index] = Math.max(endpointSentAt[index], sentAt);
            PreviousState kept = promisedTerm > promised[index] ? previous.withEndpointResponse(index, this) : previous;
            return new Snapshot(term, stage, platformSentAt, newPromised, newSentAt, kept);
        }

        private long platformEvidence(long wanted) {
            if (term == wanted && stage == STAGE_OPEN) {
                return platformSentAt;
            }
            return previous.openTerm == wanted ? previous.platformSentAt : NEVER;
        }

        private boolean isReplacedOnPlatform(long wanted) {
            return term > wanted || term == wanted && stage > STAGE_OPEN;
        }

        /** Returns the oldest send time among the newest responses of a majority, or {@link #NEVER} without one. */
        private long majorityEvidence(long wanted, int majority) {
            long[] times = new long[endpointSentAt.length];
            for (int i = 0; i < times.length; i++) {
                long earlier = previous.promised[i] <= wanted ? previous.endpointSentAt[i] : NEVER;
                times[i] = promised[i] <= wanted ? endpointSentAt[i] : earlier;
            }
            Arrays.sort(times);
            return times[times.length - majority];
        }
    }

    /**
     * The last state before a promised term rose or the group record left the open state. Its evidence stays valid for
     * its full time, because coordinators wait that long before they choose a candidate. Writes in flight during a
     * switchover are acknowledged by it.
     */
    private static final class PreviousState {
        private final long openTerm;
        private final long platformSentAt;
        private final long[] promised;
        private final long[] endpointSentAt;

        private PreviousState(long openTerm, long platformSentAt, long[] promised, long[] endpointSentAt) {
            this.openTerm = openTerm;
            this.platformSentAt = platformSentAt;
            this.promised = promised;
            this.endpointSentAt = endpointSentAt;
        }

        private PreviousState withEndpointResponse(int index, Snapshot before) {
            long[] newPromised = promised.clone();
            long[] newSentAt = endpointSentAt.clone();
            newPromised[index] = before.promised[index];
            newSentAt[index] = before.endpointSentAt[index];
            return new PreviousState(openTerm, platformSentAt, newPromised, newSentAt);
        }
    }
}
