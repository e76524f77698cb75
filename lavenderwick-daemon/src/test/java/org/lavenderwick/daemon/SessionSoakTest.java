package org.lavenderwick.daemon;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.lavenderwick.daemon.SoakHistory.Freshness;
import org.lavenderwick.platform.standin.OperatorStandin;
import org.lavenderwick.platform.standin.OperatorStandin.Route;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs daemons under random faults and random load, then checks that every daemon serves writes again and that the
 * recorded history is consistent.
 *
 * <p>{@code -Dsoak.seed} sets the random seed, {@code -Dsoak.seconds} the duration of the faults.
 */
class SessionSoakTest {

    private static final long SEED = Long.getLong("soak.seed", 1);

    /** Long enough for several failovers, each of which takes about three seconds. */
    private static final Duration FAULT_DURATION = Duration.ofSeconds(Long.getLong("soak.seconds", 20));

    private static final int DAEMONS = 3;
    private static final int CALLERS = 8;

    /** Staleness that {@link OperatorStandin} configures for bounded reads. */
    private static final Duration ACCEPTED_STALENESS = Duration.ofMillis(1500);

    private static final Map<Freshness, String> DATABASES = Map.of(
            Freshness.PRIMARY, SessionFleet.DATABASE,
            Freshness.BOUNDED, "reports",
            Freshness.READ_YOUR_WRITES, "accounts");

    private static final List<Route> ROUTES = List.of(
            new Route(DATABASES.get(Freshness.PRIMARY), "primary"),
            new Route(DATABASES.get(Freshness.BOUNDED), "bounded"),
            new Route(DATABASES.get(Freshness.READ_YOUR_WRITES), "read_your_writes"));

    @Test
    void historyIsConsistentUnderRandomFaults() throws Exception {
        Random random = new Random(SEED);
        SoakHistory history = new SoakHistory(ACCEPTED_STALENESS);
        List<String> unanswered = Collections.synchronizedList(new ArrayList<>());
        List<String> faults = new ArrayList<>();
        try (SessionFleet fleet = new SessionFleet()) {
            OperatorStandin.configure(fleet.store(), 1, ROUTES, SessionFleet.GROUP, 1000);
            for (int index = 0; index < DAEMONS; index++) {
                fleet.startDaemon();
            }
            List<SoakCaller> callers = new ArrayList<>();
            List<Thread> threads = new ArrayList<>();
            for (int index = 0; index < CALLERS; index++) {
                Random callerRandom = new Random(random.nextLong());
                SoakCaller caller = new SoakCaller(
                        history,
                        DATABASES,
                        () -> fleet.randomMember(callerRandom).address(),
                        callerRandom,
                        unanswered);
                callers.add(caller);
                threads.add(new Thread(caller, "caller " + index));
            }
            threads.forEach(Thread::start);
            SoakFaults faultInjector = new SoakFaults(fleet, random);
            long deadlineNanos = System.nanoTime() + FAULT_DURATION.toNanos();
            while (System.nanoTime() < deadlineNanos) {
                faults.add(faultInjector.injectRandomFault());
            }
            fleet.awaitServiceOfAll();
            callers.forEach(SoakCaller::stop);
            for (Thread thread : threads) {
                thread.join();
            }
            System.out.printf(
                    "soak: seed %d, %d attempts, %d acknowledged commits, %s, promotions %s, faults %s%n",
                    SEED,
                    history.attemptCount(),
                    history.acknowledgedCommits(),
                    history.outcomeCounts(),
                    fleet.database().promotions(),
                    faults);
            assertThat(unanswered).as("statements without a response").isEmpty();
            assertThat(history.violations(
                            fleet.database().runs().stream()
                                    .filter(run -> !run.text().contains(SessionFleet.PROBE_ITEM))
                                    .toList(),
                            fleet.database().commits().stream()
                                    .filter(commit -> !commit.item().equals(SessionFleet.PROBE_ITEM))
                                    .toList(),
                            fleet.database().lateValues(),
                            fleet.database().rolledBackValues()))
                    .as("seed %d", SEED)
                    .isEmpty();
        }
        assertThat(history.acknowledgedCommits()).isPositive();
    }
}
