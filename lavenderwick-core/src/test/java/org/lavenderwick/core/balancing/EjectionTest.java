package org.lavenderwick.core.balancing;

import java.time.Duration;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lavenderwick.core.dispatch.EndpointLoad;
import org.lavenderwick.core.dispatch.EndpointSelector;
import org.lavenderwick.core.model.EndpointName;

import static org.assertj.core.api.Assertions.assertThat;

class EjectionTest {

    private static final EndpointName PRIMARY = EndpointName.of("p");
    private static final EndpointName REPLICA = EndpointName.of("r");
    private static final List<EndpointLoad> LOADS = List.of(
            new EndpointLoad(PRIMARY, true, true, 0, 2, false), new EndpointLoad(REPLICA, false, true, 0, 2, false));

    private final GroupBalancer balancer =
            GroupBalancer.create(new Random(1), BalancingListener.NONE, OptionalDouble.empty());

    private static Duration at(long millis) {
        return Duration.ofMillis(millis);
    }

    private EndpointName choice(boolean needsPrimary, long now) {
        BalancedStatement statement =
                new BalancedStatement(1, needsPrimary, true, at(0), at(250), EndpointSelector::select);
        List<EndpointLoad> eligible = needsPrimary ? LOADS.subList(0, 1) : LOADS;
        return balancer.select(statement, eligible, Set.of(), at(now))
                .orElseThrow()
                .name();
    }

    private void finish(EndpointName endpoint, StatementOutcome outcome, long now) {
        balancer.limit(endpoint, 2);
        balancer.onSent(endpoint, at(now));
        balancer.onResponse(endpoint, at(now), at(now + 10));
        balancer.onFinished(endpoint, "db", false, at(now), at(now), outcome, at(now + 10));
    }

    private void failAll(EndpointName endpoint, int count) {
        for (int index = 0; index < count; index++) {
            finish(endpoint, StatementOutcome.FAILED, 10L * index);
        }
    }

    /** Guards against an ejection for one failed statement. */
    @Test
    void needsAMinimumOfEvidence() {
        finish(PRIMARY, StatementOutcome.SUCCEEDED, 0);
        failAll(REPLICA, 3);
        assertThat(choice(false, 40)).isEqualTo(REPLICA);
        failAll(REPLICA, 3);
        assertThat(choice(false, 70)).isEqualTo(PRIMARY);
    }

    /** Guards against a daemon that ejects every endpoint because its own host is at fault. */
    @Test
    void allUnhealthyMeansNoneIsEjected() {
        failAll(REPLICA, 8);
        failAll(PRIMARY, 8);
        failAll(REPLICA, 8);
        assertThat(choice(false, 90)).isEqualTo(REPLICA);
    }

    /** Guards against writes without an endpoint because the primary is an outlier. */
    @Test
    void thePrimaryKeepsWhatNeedsIt() {
        for (int index = 0; index < 6; index++) {
            finish(REPLICA, StatementOutcome.SUCCEEDED, 10L * index);
        }
        failAll(PRIMARY, 8);
        assertThat(balancer.isEjected(PRIMARY)).isTrue();
        assertThat(choice(true, 90)).isEqualTo(PRIMARY);
    }

    /** Guards against full use of an endpoint that was ejected before single statements have succeeded there. */
    @Test
    void probesComeBeforeReadmission() {
        finish(PRIMARY, StatementOutcome.SUCCEEDED, 0);
        failAll(REPLICA, 6);
        balancer.refresh(at(700));
        for (int probe = 0; probe < Ejection.PROBES; probe++) {
            assertThat(choice(false, 700 + 100L * probe)).isEqualTo(REPLICA);
            assertThat(choice(false, 701 + 100L * probe)).isEqualTo(PRIMARY);
            finish(REPLICA, StatementOutcome.SUCCEEDED, 702 + 100L * probe);
        }
        assertThat(choice(false, 1000)).isEqualTo(REPLICA);
        assertThat(balancer.limit(REPLICA, 8)).isLessThan(8);
    }

    @Nested
    class RepeatedEjections {

        /** Guards against an endpoint that is readmitted as often as it goes down, and one that is out for good. */
        @Test
        void lastLongerUpToABound() {
            Ejection ejection = new Ejection();
            Duration last = Duration.ZERO;
            for (int index = 0; index < 8; index++) {
                Duration now = Duration.ofSeconds(10L * index);
                Duration next = ejection.eject(EjectionCause.FAILING, now);
                assertThat(next).isGreaterThanOrEqualTo(last).isLessThanOrEqualTo(Ejection.MAX_DURATION);
                ejection.startProbing(now.plus(next));
                for (int probe = 0; probe < Ejection.PROBES; probe++) {
                    ejection.onProbePassed(now.plus(next));
                }
                last = next;
            }
            assertThat(last).isEqualTo(Ejection.MAX_DURATION);
        }
    }

    @Nested
    class Ramp {

        /** Guards against a domain that sends all its reads to the next one at the moment it loses its own endpoint. */
        @Test
        void departuresStartSlowlyAndGrow() {
            CrossDomainRamp ramp = new CrossDomainRamp();
            int[] departures = new int[4];
            for (int millis = 0; millis < 1000; millis++) {
                if (ramp.mayDepart(at(5000 + millis))) {
                    ramp.onDeparted(at(5000 + millis));
                    departures[millis / 250]++;
                }
            }
            // Two at once, then 20 per second, doubled every 250 ms.
            assertThat(departures[0]).isBetween(2, 8);
            assertThat(departures[3]).isBetween(30, 42);
        }
    }
}
