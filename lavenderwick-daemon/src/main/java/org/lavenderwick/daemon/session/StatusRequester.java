package org.lavenderwick.daemon.session;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.vavr.control.Either;
import org.lavenderwick.adapters.session.EndpointCodec;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.failover.EndpointReport;
import org.lavenderwick.core.failover.FailoverTimings;
import org.lavenderwick.core.failover.UnanimousEvidence.TimedReport;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.replication.PositionHistory;

/**
 * The sender of status requests to the endpoints of a group. The reports of the endpoints provide evidence for the
 * primary while the term record provides none. Confined to the traffic thread.
 */
final class StatusRequester {

    /**
     * Status requests are sent once the newest evidence has this age. The term record is renewed several times within
     * this time, so requests are only sent after several renewals have failed.
     */
    private static final Duration REQUEST_EVIDENCE_AGE = Duration.ofMillis(700);

    /** Minimum time between two rounds of status requests. */
    private static final Duration REQUEST_INTERVAL = Duration.ofMillis(300);

    /**
     * A report counts as evidence only on a connection that is older than this. An endpoint forgets its promise when it
     * restarts, and an older connection shows that it has not restarted recently.
     */
    private static final Duration MIN_CONNECTION_AGE = FailoverTimings.DEFAULTS.minConnectionAge();

    private final EventLoop loop;
    private final EndpointCodec codec;
    private final PrimaryTracker primaryTracker;
    private final PositionHistory positions;
    private final Map<EndpointName, EndpointConnectionPool> pools;
    private Duration lastRequestAt = Duration.ZERO;

    StatusRequester(
            EventLoop loop,
            EndpointCodec codec,
            PrimaryTracker primaryTracker,
            PositionHistory positions,
            Map<EndpointName, EndpointConnectionPool> pools) {
        this.loop = loop;
        this.codec = codec;
        this.primaryTracker = primaryTracker;
        this.positions = positions;
        this.pools = pools;
    }

    /**
     * Sends a status request to each endpoint, unless the newest evidence or the last round of requests is recent.
     * Opens a connection to an endpoint that has no idle one. Reports on young connections show what the endpoints will
     * confirm later, unless they restart again.
     */
    void sendIfDue(Duration now) {
        boolean isEvidenceRecent = primaryTracker
                .evidenceAge(now)
                .filter(evidenceAge -> evidenceAge.compareTo(REQUEST_EVIDENCE_AGE) < 0)
                .isPresent();
        if (isEvidenceRecent || now.minus(lastRequestAt).compareTo(REQUEST_INTERVAL) < 0) {
            return;
        }
        lastRequestAt = now;
        pools.forEach((name, pool) -> {
            Optional<EndpointConnection> idle = pool.oldestIdleConnection();
            if (idle.isPresent()) {
                boolean isEvidence = idle.get().age().compareTo(MIN_CONNECTION_AGE) > 0;
                idle.get().requestStatus(response -> onResponse(name, response, isEvidence));
            } else {
                pool.openConnection();
            }
        });
    }

    private void onResponse(EndpointName name, EndpointResponse response, boolean isEvidence) {
        List<String> rows = response.rows();
        if (!response.succeeded() || rows.size() != 1) {
            return;
        }
        Either<Failure, EndpointReport> parsed = codec.parseReport(rows.get(0));
        parsed.peek(report -> primaryTracker.onStatusReport(
                name, new TimedReport(response.sentAt(), report), isEvidence, pools.keySet(), loop.now()));
    }
}
