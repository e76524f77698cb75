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
import org.lavenderwick.platform.LineCallerCodec;
import org.lavenderwick.platform.LineEndpointCodec;
import org.lavenderwick.platform.PromoteCall;
import org.lavenderwick.platform.ReadyProbe;
import org.lavenderwick.platform.StoreClient;

/** A daemon that serves the session interface on the users' platform. */
final class SessionDaemon {

    /** Longest wait for an answer of the store; far above its usual milliseconds, below the life of evidence. */
    private static final Duration STORE_TIMEOUT = Duration.ofMillis(900);

    /** Longest wait for the answer to a promotion order. */
    private static final Duration PROMOTION_TIMEOUT = Duration.ofMillis(1500);

    /** Time after the request to stop in which the platform notices that this daemon is not ready. */
    private static final Duration ROTATION_EXIT = Duration.ofMillis(2400);

    /** Time kept at the end of the stop for closing connections and giving up entries. */
    private static final Duration EXIT_RESERVE = Duration.ofMillis(600);

    private static final Duration POLL = Duration.ofMillis(20);

    private static final Logger LOG = Logger.getLogger(SessionDaemon.class);

    private final SessionSettings settings;
    private final AtomicReference<SessionSettings> inForce;
    private final EventLoop loop;
    private final SessionProxy proxy;
    private final FleetControl control;
    private final MonotonicClock clock;
    private volatile boolean stopping;
    private Thread controlThread;

    private SessionDaemon(
            SessionSettings settings,
            AtomicReference<SessionSettings> inForce,
            EventLoop loop,
            SessionProxy proxy,
            FleetControl control,
            MonotonicClock clock) {
        this.settings = settings;
        this.inForce = inForce;
        this.loop = loop;
        this.proxy = proxy;
        this.control = control;
        this.clock = clock;
    }

    /** Starts a daemon. */
    static SessionDaemon start(SessionSettings settings) throws IOException {
        Clocks clocks = new Clocks(() -> Duration.ofNanos(System.nanoTime()), InstantSource.system());
        MonotonicClock clock = clocks.monotonic();
        RandomGenerator random = new Random();
        EndpointCodec codec = new LineEndpointCodec();
        AtomicReference<SessionSettings> inForce = new AtomicReference<>(settings);
        EventLoop loop = EventLoop.open(clock);
        SessionProxy proxy = new SessionProxy(
                loop,
                new LineCallerCodec(),
                codec,
                settings.daemon(),
                settings.failureDomain(),
                random,
                ClockJumpDetector.create(clock, clocks.wall()));
        FleetControl control = new FleetControl(
                settings.daemon(),
                new Peer(settings.failureDomain(), settings.peerAddress()),
                settings.seeds(),
                StoreClient.create(() -> inForce.get().storeAddress(), STORE_TIMEOUT),
                codec,
                PromoteCall.create(() -> inForce.get().promotionAddress(), settings.daemon(), PROMOTION_TIMEOUT),
                clocks,
                random,
                settings.changeBound(),
                proxy);
        SessionDaemon daemon = new SessionDaemon(settings, inForce, loop, proxy, control, clock);
        Acceptor.acceptSessions(loop, settings.callerAddress(), proxy);
        Acceptor.acceptPeers(loop, settings.peerAddress(), proxy);
        Acceptor.acceptReadinessProbes(
                loop, settings.readinessAddress(), new ReadinessResponder(new ReadyProbe(), daemon::isReady));
        control.startStoreThread();
        daemon.controlThread = startThread("control", control);
        startThread("traffic", loop);
        LOG.infof("[daemon] %s serves sessions at %s.", settings.daemon(), settings.callerAddress());
        return daemon;
    }

    /** Ends the threads of the daemon at once. */
    void close() {
        loop.stop();
        controlThread.interrupt();
        control.close();
    }

    private static Thread startThread(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setUncaughtExceptionHandler((failed, cause) -> {
            LOG.errorf(cause, "[daemon] The thread %s failed; the process ends.", failed.getName());
            Runtime.getRuntime().halt(Main.FAILED);
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Follows the settings file; returns what asks for a reading at once. */
    Runnable followSettings(Path file) {
        SettingsReload reload = new SettingsReload(file, settings, inForce::set);
        startThread("settings", reload);
        return reload::request;
    }

    private boolean isReady() {
        return !stopping && control.isConfigured();
    }

    /** Leaves the rotation, lets open work end, and returns when all sessions have ended or time is up. */
    void stop() throws InterruptedException {
        Duration begun = clock.now();
        Duration last = settings.stopTime().minus(EXIT_RESERVE);
        stopping = true;
        LOG.info("[daemon] Stops: leaves the rotation and lets open work end.");
        loop.execute(() -> proxy.startDrain(ROTATION_EXIT, settings.stopTime().dividedBy(2)));
        control.leave();
        while (clock.now().minus(begun).compareTo(last) < 0) {
            boolean out = clock.now().minus(begun).compareTo(ROTATION_EXIT.plus(POLL.multipliedBy(2))) > 0;
            if (out && proxy.openSessions() == 0) {
                break;
            }
            Thread.sleep(POLL.toMillis());
        }
        LOG.infof("[daemon] Ends with %d open sessions.", proxy.openSessions());
    }
}
