package org.lavenderwick.daemon;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lavenderwick.core.account.RateLimit;
import org.lavenderwick.core.account.RateLimitBounds;
import org.lavenderwick.platform.standin.OperatorStandin;
import org.lavenderwick.platform.standin.OperatorStandin.Account;
import org.lavenderwick.platform.standin.OperatorStandin.Route;
import org.lavenderwick.platform.standin.SessionClient;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lavenderwick.daemon.SessionFleet.succeeded;

/** Tests three daemons in three failure domains with an account that runs far more operations than its limit. */
class SessionRateLimitTest {

    private static final RateLimitBounds BOUNDS = new RateLimitBounds(Duration.ofSeconds(5), 0.1, 20);
    private static final RateLimit LIMIT = new RateLimit(20, 10);
    private static final String KEY = "alpha-secret-key";
    private static final String PROBE_KEY = "tester";

    private record Operation(long sentNanos, long endedNanos) {}

    private final Queue<Operation> operations = new ConcurrentLinkedQueue<>();
    private final AtomicInteger rejections = new AtomicInteger();
    private final List<Thread> callers = new ArrayList<>();
    private SessionFleet fleet;
    private volatile boolean stopped;

    @BeforeEach
    void start() throws Exception {
        fleet = new SessionFleet();
        fleet.limitRates(BOUNDS);
        OperatorStandin.configure(
                fleet.store(),
                1,
                List.of(new Route(SessionFleet.DATABASE, "primary")),
                SessionFleet.GROUP,
                1000,
                21,
                List.of(
                        new Account("probe", List.of(PROBE_KEY)),
                        new Account("alpha", List.of(KEY)).limited(LIMIT.perSecond(), LIMIT.burst())));
        for (int index = 0; index < 3; index++) {
            fleet.startDaemon();
        }
        for (SessionFleet.Member member : fleet.members()) {
            Thread caller = new Thread(() -> overload(member), "caller");
            callers.add(caller);
            caller.start();
        }
        SessionFleet.await(() -> operations.size() > 50);
    }

    @AfterEach
    void stop() throws Exception {
        stopped = true;
        for (Thread caller : callers) {
            caller.join();
        }
        fleet.close();
    }

    private void overload(SessionFleet.Member member) {
        try (SessionClient client = SessionClient.open(member.address(), SessionFleet.DATABASE, KEY)) {
            while (!stopped) {
                long sentAt = System.nanoTime();
                List<String> answer = client.query("WRITE limited 1");
                if (succeeded(answer)) {
                    operations.add(new Operation(sentAt, System.nanoTime()));
                } else if (answer.get(0).matches("ERROR BUSY .*rate limit.*retry after \\d+ ms")) {
                    rejections.incrementAndGet();
                }
                Thread.sleep(5);
            }
        } catch (Exception e) {
            // The daemon was killed.
        }
    }

    /** Guards against more operations than the bound while a grantor is killed, and against too few after it. */
    @Test
    void boundHoldsAndOperationsGoOnWhenAGrantorIsKilled() throws Exception {
        Thread.sleep(3000);
        fleet.kill(fleet.members().get(1));
        int before = operations.size();
        SessionFleet.await(() -> operations.size() > before + 60);
        assertThat(rejections.get()).isPositive();
        List<Operation> ran = List.copyOf(operations);
        assertThat(fleet.runCount("limited")).isGreaterThanOrEqualTo(ran.size());
        for (Operation first : ran) {
            long end = first.sentNanos() + BOUNDS.window().toNanos();
            long inWindow = ran.stream()
                    .filter(each -> each.sentNanos() >= first.sentNanos() && each.endedNanos() <= end)
                    .count();
            assertThat((double) inWindow).isLessThanOrEqualTo(BOUNDS.maxOperations(LIMIT));
        }
    }

    /** Guards against a daemon that starts first and holds all parts, so that its loss ends all limited work. */
    @Test
    void noDaemonHoldsAllParts() throws Exception {
        Set<String> holders = new HashSet<>();
        for (int shard = 0; shard < 4; shard++) {
            for (int part = 0; part < 3; part++) {
                String key = "lavenderwick/limits/" + shard + "/" + part;
                SessionFleet.await(() -> fleet.store().text(key) != null);
                holders.add(fleet.store().text(key).split("\\s")[0]);
            }
        }
        assertThat(holders.size()).isGreaterThan(1);
    }
}
