package org.lavenderwick.daemon.session;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;
import org.lavenderwick.core.connections.account.OwnerShare;
import org.lavenderwick.platform.standin.DatabaseStandin.Run;
import org.lavenderwick.platform.standin.SessionClient;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests the connections of several accounts over real sockets. */
class AccountConnectionsTest {

    private static final int ACCOUNTS = 12;
    private static final String DAEMON_ACCOUNT = "lavenderwick";

    /** Callers that run statements of random accounts until they are stopped; each writes the name of its account. */
    private static final class Callers {
        private final AtomicBoolean stopped = new AtomicBoolean();
        private final AtomicInteger succeeded = new AtomicInteger();
        private final List<Thread> threads = new ArrayList<>();

        Callers(AccountFleet fleet, int count, int daemons) {
            for (int number = 0; number < count; number++) {
                Random random = new Random(number);
                Thread thread = new Thread(() -> {
                    while (!stopped.get()) {
                        runSession(fleet, random, 1 + random.nextInt(daemons));
                    }
                });
                thread.setDaemon(true);
                thread.start();
                threads.add(thread);
            }
        }

        private void runSession(AccountFleet fleet, Random random, int daemon) {
            int account = random.nextInt(ACCOUNTS + 1);
            boolean open = account == ACCOUNTS;
            String value = open ? DAEMON_ACCOUNT : "account-" + account;
            try (SessionClient client = fleet.open(daemon, open ? "open" : AccountFleet.DATABASE, "key-" + account)) {
                boolean transaction = random.nextInt(3) == 0;
                if (transaction) {
                    client.query("BEGIN");
                }
                for (int statement = 0; statement < 4; statement++) {
                    record(client.query("WRITE item " + value));
                }
                if (transaction) {
                    client.query("COMMIT");
                }
                Thread.sleep(random.nextInt(5));
            } catch (IOException | InterruptedException e) {
                // The daemon was restarted; the next session is opened at another one.
                Thread.onSpinWait();
            }
        }

        private void record(List<String> response) {
            if (response.get(0).startsWith("COMPLETE")) {
                succeeded.incrementAndGet();
            }
        }

        void awaitFurther(int statements) throws Exception {
            int target = succeeded.get() + statements;
            AccountFleet.await(() -> succeeded.get() >= target);
        }

        void stop() throws InterruptedException {
            stopped.set(true);
            for (Thread thread : threads) {
                thread.join();
            }
        }
    }

    private static void assertNoConnectionIsShared(AccountFleet fleet) {
        List<Run> writes = fleet.database().runs().stream()
                .filter(run -> run.text().startsWith("WRITE"))
                .toList();
        assertThat(writes)
                .isNotEmpty()
                .allSatisfy(run -> assertThat(run.text()).isEqualTo("WRITE item " + run.account()));
    }

    /** Guards against a statement that runs under the name of another account. */
    @Test
    void statementsRunOnlyOnConnectionsOfTheirAccount() throws Exception {
        int limit = 12;
        try (AccountFleet fleet = new AccountFleet(1, ACCOUNTS, limit)) {
            fleet.know(1, 1);
            Callers callers = new Callers(fleet, 6, 1);
            callers.awaitFurther(2_000);
            callers.stop();
            assertNoConnectionIsShared(fleet);
            assertThat(fleet.database().runs().stream().map(Run::account).distinct())
                    .hasSize(ACCOUNTS + 1);
            assertThat(fleet.peakConnections()).isLessThanOrEqualTo(limit);
        }
    }

    /** Guards against more connections than allowed while daemons learn of changed owners at different times. */
    @Test
    void connectionsStayWithinTheLimitWhileOwnersChangeAndWhenAllDaemonsRestart() throws Exception {
        int limit = 19;
        try (AccountFleet fleet = new AccountFleet(4, ACCOUNTS, limit)) {
            for (int daemon = 1; daemon <= 4; daemon++) {
                fleet.know(daemon, 1, 2, 3);
            }
            Callers callers = new Callers(fleet, 8, 4);
            // The owners have more than their starting shares and the single connections of the other two daemons.
            AccountFleet.await(() -> fleet.primaryConnections() > 2 * OwnerShare.START_SHARE + 2);
            for (int[] live : new int[][] {{2, 3, 4}, {1, 3, 4}, {1, 2}, {1, 2, 3, 4}}) {
                for (int daemon = 1; daemon <= 4; daemon++) {
                    fleet.know(daemon, live);
                    callers.awaitFurther(100);
                }
            }
            fleet.restartAll();
            callers.awaitFurther(1_000);
            callers.stop();
            assertNoConnectionIsShared(fleet);
            assertThat(fleet.peakConnections()).isLessThanOrEqualTo(limit);
        }
    }

    /** Guards against connections of accounts that stay open, and count, although no statement can use them. */
    @Test
    void connectionsOfAccountsAreClosedOnceTheConfigurationNamesNone() throws Exception {
        try (AccountFleet fleet = new AccountFleet(1, ACCOUNTS, 12)) {
            fleet.know(1, 1);
            Callers callers = new Callers(fleet, 6, 1);
            callers.awaitFurther(200);
            callers.stop();
            fleet.removeAccounts();
            try (SessionClient client = fleet.open(1, AccountFleet.DATABASE, "any")) {
                AccountFleet.await(() -> client.query("WRITE last item").get(0).startsWith("COMPLETE"));
                AccountFleet.await(() -> fleet.primaryConnections() == 1);
            }
            assertThat(fleet.database().runs())
                    .last()
                    .satisfies(run -> assertThat(run.account()).isEqualTo(DAEMON_ACCOUNT));
        }
    }
}
