package org.lavenderwick.core.failover;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.google.common.collect.Comparators;
import org.lavenderwick.core.model.EndpointName;

/**
 * Collects the promises of a group with synchronous replication until they meet the {@link SyncRequirement}. Confined
 * to one thread.
 */
final class SyncPromiseCollector {

    /** Time after which another daemon waits instead. */
    private static final Duration MAX_WAIT = Duration.ofSeconds(15);

    private final FailoverTimings timings;
    private Optional<FailoverWait> awaiting = Optional.empty();

    SyncPromiseCollector(FailoverTimings timings) {
        this.timings = timings;
    }

    /** Returns the endpoints that are waited for; empty while the promises suffice or may still do so soon. */
    Optional<FailoverWait> awaiting() {
        return awaiting;
    }

    /** Returns whether this daemon has waited so long that another one, which may reach other endpoints, should. */
    boolean isOverdue(Duration now) {
        return awaiting.filter(wait -> now.minus(wait.since()).compareTo(MAX_WAIT) > 0)
                .isPresent();
    }

    /** Ends the wait. */
    void stopWaiting() {
        awaiting = Optional.empty();
    }

    /**
     * Requests the missing promises.
     *
     * @param term the term that ends
     * @param startedAt when the first promise was requested
     * @return when the promises count as given, once they suffice. Evidence that is older has expired: since the first
     *     promise, which still holds, the endpoints have proven no primary.
     */
    Optional<Duration> collect(
            PromiseRound promises,
            SyncRequirement requirement,
            GroupDirectory directory,
            long term,
            Duration startedAt,
            Duration now) {
        Map<EndpointName, EndpointReport> reports = promises.requestReports();
        boolean all = promises.renew(term, reports, now);
        boolean graceOver = now.minus(startedAt).compareTo(timings.promiseGracePeriod()) > 0;
        Set<EndpointIncarnation> promised = promises.promisedReplicas(directory);
        boolean enough = promises.primaryOfLaterTerm(reports, term).isPresent()
                || promises.isOldPrimaryDemoted()
                || (!promised.isEmpty() && requirement.isCoveredBy(promised));
        if (enough && (all || graceOver)) {
            stopWaiting();
            Duration expired = now.minus(timings.evidenceExpiry());
            return Optional.of(promises.firstPromisedAt()
                    .map(first -> Comparators.max(first, expired))
                    .orElse(now));
        }
        if (graceOver) {
            awaiting = Optional.of(FailoverWait.forCommits(awaiting, requirement, promised, now));
        }
        return Optional.empty();
    }
}
