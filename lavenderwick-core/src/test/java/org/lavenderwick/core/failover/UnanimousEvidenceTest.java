package org.lavenderwick.core.failover;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.lavenderwick.core.catalog.EndpointRole;
import org.lavenderwick.core.failover.UnanimousEvidence.TimedReport;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.LogPoint;

import static org.assertj.core.api.Assertions.assertThat;

class UnanimousEvidenceTest {

    private static final EndpointName PRIMARY = EndpointName.of("p");
    private static final EndpointName FIRST = EndpointName.of("r1");
    private static final EndpointName SECOND = EndpointName.of("r2");
    private static final List<EndpointName> MEMBERS = List.of(PRIMARY, FIRST, SECOND);

    private final Map<EndpointName, TimedReport> reports = new HashMap<>();

    private void report(EndpointName name, long requestedAt, EndpointRole role, long term, long promised) {
        reports.put(
                name,
                new TimedReport(
                        Duration.ofMillis(requestedAt),
                        new EndpointReport(role, term, LogPoint.of(term, 1), promised)));
    }

    private void reportUnchangedTerm() {
        report(PRIMARY, 30, EndpointRole.PRIMARY, 2, 0);
        report(FIRST, 10, EndpointRole.REPLICA, 2, 0);
        report(SECOND, 20, EndpointRole.REPLICA, 2, 0);
    }

    @Test
    void isProvenAtTheOldestRequest() {
        reportUnchangedTerm();
        assertThat(UnanimousEvidence.evaluate(MEMBERS, reports))
                .contains(new ProvenPrimary(PRIMARY, 2, Duration.ofMillis(10)));
    }

    @Test
    void requiresReportsOfAllMembers() {
        reportUnchangedTerm();
        reports.remove(SECOND);
        assertThat(UnanimousEvidence.evaluate(MEMBERS, reports)).isEmpty();
    }

    /** The other replica has forgotten its promise and does not know the new term yet. */
    @Test
    void isMissingAfterAPromotion() {
        reportUnchangedTerm();
        report(FIRST, 40, EndpointRole.PRIMARY, 3, 0);
        assertThat(UnanimousEvidence.evaluate(MEMBERS, reports)).isEmpty();
    }

    @Test
    void isMissingAfterAPromise() {
        reportUnchangedTerm();
        report(FIRST, 40, EndpointRole.REPLICA, 2, 3);
        assertThat(UnanimousEvidence.evaluate(MEMBERS, reports)).isEmpty();
    }

    @Test
    void requiresAPrimary() {
        reportUnchangedTerm();
        report(PRIMARY, 40, EndpointRole.REPLICA, 2, 0);
        assertThat(UnanimousEvidence.evaluate(MEMBERS, reports)).isEmpty();
    }

    @Test
    void isMissingWithoutMembers() {
        assertThat(UnanimousEvidence.evaluate(List.of(), reports)).isEmpty();
    }

    /** Guards against members that count although the store may have got others long ago. */
    @Test
    void requiresMembersThatWereConfirmedRecently() {
        reportUnchangedTerm();
        Duration maxAge = FailoverTimings.DEFAULTS.membershipMaxAge();
        ConfirmedMembers recent =
                new ConfirmedMembers(Set.copyOf(MEMBERS), Duration.ofMillis(10).minus(maxAge));
        assertThat(UnanimousEvidence.evaluate(recent, FailoverTimings.DEFAULTS, reports))
                .isPresent();
        assertThat(UnanimousEvidence.evaluate(recent.olderBy(Duration.ofMillis(1)), FailoverTimings.DEFAULTS, reports))
                .isEmpty();
    }
}
