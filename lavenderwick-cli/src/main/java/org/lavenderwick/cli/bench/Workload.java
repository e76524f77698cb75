package org.lavenderwick.cli.bench;

import java.time.Duration;

import org.lavenderwick.core.configuration.RankSettings;
import org.lavenderwick.core.configuration.ServiceSettings;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.model.RankName;

/**
 * Requests of one rank to one database group.
 *
 * @param service the service with its ranks
 * @param group the database group
 * @param rank the rank
 * @param perSecond mean number of arrivals a second
 * @param writeShare share of writes, 0 to 1; all writes carry an idempotency key
 */
record Workload(ServiceSettings service, GroupName group, RankName rank, double perSecond, double writeShare) {
    private static final Duration LEAST_DEADLINE = Duration.ofSeconds(2);
    private static final Duration LONGEST_DEADLINE = Duration.ofSeconds(10);

    /** Callers wait somewhat longer than the target before they give up. */
    private static final int DEADLINE_IN_TARGETS = 4;

    /** Returns the settings of the rank. */
    RankSettings settings() {
        return service.rank(rank).orElseThrow();
    }

    /** Returns the place of the rank in its service; 0 is the most urgent. */
    int level() {
        return service.ranks().indexOf(settings());
    }

    /** Returns the name under which reports list the rank. */
    String label() {
        return service.name() + "/" + rank;
    }

    /** Returns the time within which callers want an answer: four times the target, from 2 s to 10 s. */
    Duration deadline() {
        Duration deadline = settings().target().multipliedBy(DEADLINE_IN_TARGETS);
        if (deadline.compareTo(LEAST_DEADLINE) < 0) {
            return LEAST_DEADLINE;
        }
        return deadline.compareTo(LONGEST_DEADLINE) > 0 ? LONGEST_DEADLINE : deadline;
    }
}
