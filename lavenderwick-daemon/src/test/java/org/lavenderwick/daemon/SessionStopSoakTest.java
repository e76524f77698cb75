package org.lavenderwick.daemon;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.LongStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.lavenderwick.platform.standin.DatabaseStandin;
import org.lavenderwick.platform.standin.OperatorStandin;
import org.lavenderwick.platform.standin.SessionClient;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Stops and replaces daemons in series that overlap, while the configuration changes and callers use their sessions
 * until the daemon is gone. Guards against requests that are cut, and against rejections as not run that are not true.
 *
 * <p>{@code -Dsoak.stops.seeds} sets the number of seeds, {@code -Dsoak.stops.seed} the first of them.
 */
class SessionStopSoakTest {

    private static final int STOPS = 3;
    private static final int CALLERS = 12;
    private static final int MAX_WORK_MILLIS = 300;

    /** Longer than the time that a daemon has left when it rejects the first operations. */
    private static final int STATEMENT_TIMEOUT_MILLIS = 5000;

    private final List<String> violations = new CopyOnWriteArrayList<>();
    private final Set<String> rejectedValues = Collections.synchronizedSet(new HashSet<>());
    private volatile boolean ended;
    private volatile int succeeded;

    static LongStream seeds() {
        long first = Long.getLong("soak.stops.seed", 1);
        return LongStream.range(first, first + Long.getLong("soak.stops.seeds", 2));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void everyRequestIsAnsweredWhileDaemonsAreStopped(long seed) throws Exception {
        Random random = new Random(seed);
        try (SessionFleet fleet = new SessionFleet()) {
            configure(fleet, 1);
            List<SessionFleet.Member> started = new ArrayList<>(List.of(fleet.startDaemon(), fleet.startDaemon()));
            List<Thread> callers = new ArrayList<>();
            for (int number = 0; number < CALLERS; number++) {
                Caller caller = new Caller(fleet, "c" + number, new Random(random.nextLong()));
                callers.add(new Thread(caller));
            }
            callers.forEach(Thread::start);
            List<Thread> stops = new ArrayList<>();
            for (int number = 0; number < STOPS; number++) {
                Thread.sleep(500 + random.nextInt(2500));
                configure(fleet, 2 + number);
                fleet.database().work(Duration.ofMillis(random.nextInt(MAX_WORK_MILLIS)));
                started.add(fleet.startDaemon());
                SessionFleet.Member member = started.remove(random.nextInt(started.size() - 1));
                Thread stop = new Thread(() -> stop(fleet, member));
                stops.add(stop);
                stop.start();
            }
            for (Thread stop : stops) {
                stop.join();
            }
            ended = true;
            for (Thread caller : callers) {
                caller.join();
            }
            // An endpoint may still be at work on a statement whose caller was told that it is not known to have run.
            Thread.sleep(2L * MAX_WORK_MILLIS);
            checkHistory(fleet.database());
        }
        assertThat(violations).isEmpty();
        assertThat(succeeded).isGreaterThan(100);
    }

    private static void configure(SessionFleet fleet, int version) {
        OperatorStandin.configure(
                fleet.store(), version, SessionFleet.DATABASE, "primary", SessionFleet.GROUP, STATEMENT_TIMEOUT_MILLIS);
    }

    private static void stop(SessionFleet fleet, SessionFleet.Member member) {
        try {
            member.daemon().stop();
            fleet.kill(member);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void checkHistory(DatabaseStandin database) {
        database.commits().stream()
                .filter(commit -> rejectedValues.contains(commit.value()))
                .forEach(commit -> violations.add("rejected, but committed: " + commit));
    }

    /** A caller that uses its sessions without pauses, or with pauses in which no session counts as idle. */
    private final class Caller implements Runnable {

        private final SessionFleet fleet;
        private final String name;
        private final Random random;
        private int requests;

        Caller(SessionFleet fleet, String name, Random random) {
            this.fleet = fleet;
            this.name = name;
            this.random = random;
        }

        @Override
        public void run() {
            while (!ended) {
                SessionFleet.Member member = fleet.randomMember(random);
                try (SessionClient client = SessionClient.connect(member.address())) {
                    client.send("CONNECT " + SessionFleet.DATABASE + " " + name);
                    boolean inUse = client.answer().get(0).startsWith("READY ");
                    int pauseMillis = random.nextInt(3) == 0 ? 1 + random.nextInt(150) : 0;
                    while (inUse && !ended) {
                        inUse = random.nextBoolean() ? runTransaction(client) : request(client, randomStatement());
                        Thread.sleep(pauseMillis);
                    }
                } catch (IOException e) {
                    // The daemon did not accept the session, so no request was sent.
                    continue;
                } catch (InterruptedException e) {
                    return;
                }
            }
        }

        private String randomStatement() {
            return random.nextBoolean() ? "READ " + name : "WRITE " + name + " " + name + "v" + requests;
        }

        private boolean runTransaction(SessionClient client) {
            boolean inUse = request(client, "BEGIN");
            for (int left = random.nextInt(4); left > 0 && inUse; left--) {
                inUse = request(client, randomStatement());
            }
            return inUse && request(client, "COMMIT");
        }

        /** Sends a request and returns whether the session can be used for further ones. */
        private boolean request(SessionClient client, String text) {
            String id = name + "q" + ++requests;
            List<String> answer;
            try {
                answer = client.query(id, text);
            } catch (IOException e) {
                answer = List.of("closed");
            }
            if (answer.get(answer.size() - 1).startsWith("READY ")) {
                return record(text, answer.get(0));
            }
            violations.add("no answer: " + id + " " + text);
            return false;
        }

        private boolean record(String text, String answer) {
            boolean isPromise = answer.startsWith("ERROR BUSY") || answer.startsWith("ERROR ABORTED");
            if (isPromise && text.startsWith("WRITE ")) {
                rejectedValues.add(text.split(" ", 3)[2]);
            }
            boolean success = !answer.startsWith("ERROR ");
            if (success) {
                succeeded++;
            }
            return success;
        }
    }
}
