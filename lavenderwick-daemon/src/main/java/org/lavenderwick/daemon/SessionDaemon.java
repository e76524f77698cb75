package org.lavenderwick.daemon;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Random;
import java.util.concurrent.atomic.AtomicReference;
import java.util.random.RandomGenerator;

import org.jboss.logging.Logger;
import org.lavenderwick.adapters.session.EndpointCodec;
import org.lavenderwick.adapters.settings.SessionSettings;
import org.lavenderwick.core.time.Clocks;
import org.lavenderwick.core.time.MonotonicClock;
import org.lavenderwick.daemon.fleet.FleetControl;
import org.lavenderwick.daemon.session.Acceptor;
import org.lavenderwick.daemon.session.ClockJumpDetector;
import org.lavenderwick.daemon.session.EventLoop;
import org.lavenderwick.daemon.session.Peer;
import org.lavenderwick.daemon.session.ReadinessResponder;
import org.lavenderwick.daemon.session.SessionProxy;
import org.lavenderwick.daemon.session.StopSchedule;
import org.lavenderwick.platform.LineCallerCodec;
import org.lavenderwick.platform.LineEndpointCodec;
import org.lavenderwick.platform.PromoteCall;
import org.lavenderwick.platform.ReadyProbe;
import org.lavenderwick.platform.StoreClient;

/** A daemon that serves the session interface on the users' platform. */
final class SessionDaemon {

    /**
     * Timeout of store calls: far above the few milliseconds that they usually take, and below the maximum age of
     * evidence.
     */
    private static final Duration STORE_TIMEOUT = Duration.ofMillis(900);

    /** Timeout of promotion requests. */
    private static final Duration PROMOTION_TIMEOUT = Duration.ofMillis(1500);

    /** Time beyond the schedule of a stop after which a traffic thread that does not end is left behind. */
    private static final Duration STOP_MARGIN = Duration.ofMillis(100);

    private static final Logger LOG = Logger.getLogger(SessionDaemon.class);

    private final SessionSettings settings;
    private final AtomicReference<SessionSettings> currentSettings;
    private final EventLoop loop;
    private final SessionProxy proxy;
    private final StoreClient store;
    private final FleetControl control;
    private volatile boolean stopping;
    private Thread controlThread;

    private SessionDaemon(
            SessionSettings settings,
            AtomicReference<SessionSettings> currentSettings,
            EventLoop loop,
            SessionProxy proxy,
            StoreClient store,
            FleetControl control) {
        this.settings = settings;
        this.currentSettings = currentSettings;
        this.loop = loop;
        this.proxy = proxy;
        this.store = store;
        this.control = control;
    }

    /**
     * Starts a daemon.
     *
     * @throws IOException if the daemon cannot open its event loop or listen on one of its addresses
     */
    static SessionDaemon start(SessionSettings settings) throws IOException {
        Clocks clocks = new Clocks(() -> Duration.ofNanos(System.nanoTime()), InstantSource.system());
        MonotonicClock clock = clocks.monotonic();
        RandomGenerator random = new Random();
        EndpointCodec codec = new LineEndpointCodec();
        AtomicReference<SessionSettings> currentSettings = new AtomicReference<>(settings);
        EventLoop loop = EventLoop.open(clock);
        SessionProxy proxy = new SessionProxy(
                loop,
                new LineCallerCodec(),
                codec,
                settings.daemon(),
                settings.failureDomain(),
                random,
                ClockJumpDetector.create(clock, clocks.wall()),
                settings.changeBound(),
                settings.rateLimits(),
                settings.balancing());
        StoreClient store = StoreClient.create(() -> currentSettings.get().storeAddress(), STORE_TIMEOUT);
        FleetControl control = new FleetControl(
                settings.daemon(),
                new Peer(settings.failureDomain(), settings.peerAddress()),
                settings.seeds(),
                store,
                codec,
                PromoteCall.create(
                        () -> currentSettings.get().promotionAddress(), settings.daemon(), PROMOTION_TIMEOUT),
                clocks,
                random,
                settings.changeBound(),
                settings.rateLimits().isPresent(),
                proxy);
        SessionDaemon daemon = new SessionDaemon(settings, currentSettings, loop, proxy, store, control);
        Acceptor.acceptSessions(loop, settings.callerAddress(), proxy);
        Acceptor.acceptPeers(loop, settings.peerAddress(), proxy);
        Acceptor.acceptReadinessProbes(
                loop, settings.readinessAddress(), new ReadinessResponder(new ReadyProbe(), daemon::isReady));
        control.startThreads(SessionDaemon::startThread);
        daemon.controlThread = startThread("control", control);
        startThread("traffic", loop);
        LOG.infof("[daemon] %s is serving sessions on %s.", settings.daemon(), settings.callerAddress());
        return daemon;
    }

    /** Stops the threads of the daemon without a drain. */
    void close() {
        loop.stop();
        closeControl();
    }

    private void closeControl() {
        controlThread.interrupt();
        control.close();
        store.close();
    }

    private static Thread startThread(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setUncaughtExceptionHandler((failed, cause) -> {
            LOG.errorf(
                    cause,
                    "[daemon] Thread %s failed with an uncaught exception; terminating the process.",
                    failed.getName());
            Runtime.getRuntime().halt(Main.FAILED);
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Starts to reload the settings when the file changes. Returns a task that requests an immediate reload. */
    Runnable watchSettings(Path file) {
        SettingsReload reload = new SettingsReload(file, settings, currentSettings::set);
        startThread("settings", reload);
        return reload::request;
    }

    private boolean isReady() {
        return !stopping && control.isConfigured();
    }

    /**
     * Reports the daemon as not ready and drains its sessions. Returns when the traffic thread has ended and closed all
     * sockets, which it does once all sessions have ended or the stop time, less a reserve, is over.
     */
    void stop() throws InterruptedException {
        StopSchedule schedule = StopSchedule.of(settings.stopTime());
        stopping = true;
        LOG.info("[daemon] Stopping: reporting not ready and draining open sessions.");
        loop.execute(() -> proxy.startDrain(schedule));
        control.leave();
        if (!loop.awaitEnd(schedule.end().plus(STOP_MARGIN))) {
            LOG.warnf(
                    "[daemon] The traffic thread did not end within %d ms.",
                    schedule.end().toMillis());
        }
        // The runtime delays its end by up to 300 ms for threads that are blocked in system calls.
        closeControl();
    }
}
