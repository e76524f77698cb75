package org.lavenderwick.daemon;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.LongStream;

import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.lavenderwick.platform.standin.DatabaseStandin;
import org.lavenderwick.platform.standin.OperatorStandin;
import org.lavenderwick.platform.standin.StoreStandin;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Stops and starts the daemons of a failure domain, as processes, by signals in series that overlap, while sessions of
 * one operation arrive up to the end of each process. Guards against requests that a stopping daemon passes on and does
 * not answer, against rejections as not run that are not true, and against sessions that are closed just before their
 * first request.
 *
 * <p>{@code -Dsoak.arrivals.seeds} sets the number of seeds, {@code -Dsoak.arrivals.seed} the first of them, and
 * {@code -Dsoak.arrivals.daemons} the number of daemons.
 */
class ArrivalStopSoakTest {

    private static final int DAEMONS = Integer.getInteger("soak.arrivals.daemons", 3);
    private static final int SERIES = 2;
    private static final int MAX_GAP_MILLIS = 2000;

    /** Longest time from the first signal of a series to the last. */
    private static final int MAX_SERIES_MILLIS = 6000;

    private static final int MAX_WORK_MILLIS = 30;
    private static final int STATEMENT_TIMEOUT_MILLIS = 2000;

    /** Probes in a row without a 200 after which the platform sends a daemon no more connections. */
    private static final int MAX_MISSES = 2;

    /** Longest pause of a caller between the opening of its session and its first request. */
    private static final int MAX_PAUSE_MILLIS = 300;

    /** Shortest stop time in which a session that opens at the last moment has the time for its first request. */
    private static final int MIN_STOP_SECONDS_FOR_UNUSED_SESSIONS = 2;

    private static final Duration PROBE_INTERVAL = Duration.ofSeconds(1);

    private final List<String> violations = new CopyOnWriteArrayList<>();
    private final List<DaemonProcess> daemons = new ArrayList<>();
    private volatile List<DaemonProcess> inRotation = List.of();
    private volatile boolean ended;

    static LongStream seeds() {
        long first = Long.getLong("soak.arrivals.seed", 1);
        return LongStream.range(first, first + Long.getLong("soak.arrivals.seeds", 3));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void requestsThatArePassedOnAreAnswered(long seed, @TempDir Path directory) throws Exception {
        // The first numbers of generators with small seeds that follow each other hardly differ without the mixing.
        Random random = new Random(new SplittableRandom(seed).nextLong());
        int stopSeconds = List.of(6, 6, 2, 1).get(random.nextInt(4));
        int maxPauseMillis = random.nextInt(3) == 0 ? MAX_PAUSE_MILLIS : 0;
        try (StoreStandin store = StoreStandin.start();
                DatabaseStandin database = DatabaseStandin.start(SessionFleet.GROUP, SessionFleet.ENDPOINTS, store)) {
            configure(store, 1);
            database.work(Duration.ofMillis(1 + random.nextInt(MAX_WORK_MILLIS)));
            for (int number = 1; number <= DAEMONS; number++) {
                daemons.add(new DaemonProcess(
                        "d" + number, directory, store.address(), database.ordersAddress(), stopSeconds));
            }
            startAll();
            Thread balancer = new Thread(this::keepRotation, "balancer");
            balancer.start();
            Random chooser = new Random(random.nextLong());
            ArrivingCallers callers = new ArrivingCallers(
                    () -> choose(chooser), new Random(random.nextLong()), 50 + random.nextInt(150), maxPauseMillis);
            Thread arrivals = new Thread(callers, "arrivals");
            arrivals.start();
            for (int series = 1; series <= SERIES; series++) {
                Thread.sleep(1500);
                stopAndStart(random);
                configure(store, 1 + series);
            }
            ended = true;
            callers.stop();
            arrivals.join();
            callers.awaitAnswers();
            balancer.join();
            System.out.printf("arrivals: seed %d, stop time %d s, %s%n", seed, stopSeconds, callers.outcomes());
            violations.addAll(callers.violations(database));
            if (stopSeconds >= MIN_STOP_SECONDS_FOR_UNUSED_SESSIONS) {
                callers.cutFirstRequests().forEach(id -> violations.add("first request of a session was cut: " + id));
            }
            assertThat(violations).as("seed %d", seed).isEmpty();
            assertThat(callers.outcomes().getOrDefault("success", 0)).isGreaterThan(100);
        } finally {
            ended = true;
            daemons.forEach(DaemonProcess::kill);
        }
    }

    private static void configure(StoreStandin store, int version) {
        OperatorStandin.configure(
                store, version, SessionFleet.DATABASE, "primary", SessionFleet.GROUP, STATEMENT_TIMEOUT_MILLIS);
    }

    private void startAll() throws Exception {
        for (DaemonProcess daemon : daemons) {
            daemon.start();
        }
        for (DaemonProcess daemon : daemons) {
            daemon.awaitService();
        }
        inRotation = List.copyOf(daemons);
    }

    /** Stops two or more daemons, at once or one by one, and starts each again when it has ended. */
    private void stopAndStart(Random random) throws Exception {
        List<DaemonProcess> stopped = new ArrayList<>(daemons);
        Collections.shuffle(stopped, random);
        stopped = stopped.subList(0, 2 + random.nextInt(DAEMONS - 1));
        int maxGapMillis = Math.min(MAX_GAP_MILLIS, MAX_SERIES_MILLIS / stopped.size());
        int gapMillis = random.nextInt(3) == 0 ? 0 : random.nextInt(maxGapMillis);
        List<Thread> stops = new ArrayList<>();
        for (DaemonProcess daemon : stopped) {
            int repeatAfterMillis = random.nextInt(3) == 0 ? random.nextInt(1000) : -1;
            boolean reloads = random.nextBoolean();
            Thread stop = new Thread(() -> stopAndStart(daemon, repeatAfterMillis, reloads));
            stops.add(stop);
            stop.start();
            Thread.sleep(gapMillis);
        }
        for (Thread stop : stops) {
            stop.join();
        }
        for (DaemonProcess daemon : stopped) {
            daemon.awaitService();
        }
    }

    private void stopAndStart(DaemonProcess daemon, int repeatAfterMillis, boolean reloads) {
        try {
            if (reloads) {
                daemon.signal("HUP");
            }
            daemon.signal("TERM");
            if (repeatAfterMillis >= 0) {
                Thread.sleep(repeatAfterMillis);
                daemon.signal("TERM");
            }
            if (!daemon.awaitEnd()) {
                violations.add("a daemon did not end with status 0 within its stop time");
            }
            Thread.sleep(200);
            daemon.start();
        } catch (Exception e) {
            violations.add("a daemon could not be stopped and started: " + e);
        }
    }

    /** Probes the daemons as the platform does, to know which of them get new connections. */
    private void keepRotation() {
        int[] misses = new int[daemons.size()];
        while (!ended) {
            List<DaemonProcess> ready = new ArrayList<>();
            for (int index = 0; index < misses.length; index++) {
                DaemonProcess daemon = daemons.get(index);
                boolean isReady = daemon.isReady();
                misses[index] = isReady ? 0 : misses[index] + 1;
                if (isReady || (misses[index] < MAX_MISSES && inRotation.contains(daemon))) {
                    ready.add(daemon);
                }
            }
            inRotation = List.copyOf(ready);
            try {
                Thread.sleep(PROBE_INTERVAL.toMillis());
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Returns a daemon in rotation; any one if fewer than half are. */
    private InetSocketAddress choose(Random random) {
        List<DaemonProcess> ready = inRotation;
        List<DaemonProcess> used = 2 * ready.size() < daemons.size() ? daemons : ready;
        return used.get(random.nextInt(used.size())).callerAddress();
    }
}
