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

/** Asks the endpoints of a group who leads, while the record of terms cannot be proven current. */
final class StatusRequester {

    /** Age of the proof from the record at which the endpoints are asked; renewals come several times as often. */
    private static final Duration ASK_AFTER = Duration.ofMillis(600);

    /** Time between two questions to the same endpoint. */
    private static final Duration INTERVAL = Duration.ofMillis(300);

    /** An endpoint that restarted may have forgotten a promise; older connections show that it did not restart. */
    private static final Duration SETTLED = FailoverTimings.DEFAULTS.minConnectionAge();

    private final EventLoop loop;
    private final EndpointCodec codec;
    private final PrimaryTracker terms;
    private final PositionHistory positions;
    private final Map<EndpointName, EndpointConnectionPool> pools;
    private Duration askedAt = Duration.ZERO;

    StatusRequester(
            EventLoop loop,
            EndpointCodec codec,
            PrimaryTracker terms,
            PositionHistory positions,
            Map<EndpointName, EndpointConnectionPool> pools) {
        this.loop = loop;
        this.codec = codec;
        this.terms = terms;
        this.positions = positions;
        this.pools = pools;
    }

    /** Asks all endpoints, if the last proof is too old and the last question is not too recent. */
    void sendIfDue(Duration now) {
        boolean fresh =
                terms.age(now).filter(age -> age.compareTo(ASK_AFTER) < 0).isPresent();
        if (fresh || now.minus(askedAt).compareTo(INTERVAL) < 0) {
            return;
        }
        askedAt = now;
        pools.forEach((name, pool) -> {
            Optional<EndpointConnection> idle = pool.idleConnection();
            if (idle.isPresent() && idle.get().age().compareTo(SETTLED) > 0) {
                idle.get().requestStatus(answer -> reported(name, answer));
            } else if (idle.isEmpty()) {
                pool.openConnection();
            }
        });
    }

    private void reported(EndpointName name, EndpointResponse answer) {
        List<String> rows = answer.rows();
        if (!answer.succeeded() || rows.size() != 1) {
            return;
        }
        Either<Failure, EndpointReport> report = codec.parseReport(rows.get(0));
        report.peek(value ->
                terms.onStatusReport(name, new TimedReport(answer.sentAt(), value), pools.keySet(), loop.now()));
    }
}
