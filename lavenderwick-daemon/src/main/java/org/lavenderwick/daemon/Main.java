package org.lavenderwick.daemon;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.ToIntFunction;
import java.util.stream.Collectors;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import io.vavr.control.Either;
import org.jboss.logging.Logger;
import org.lavenderwick.adapters.settings.DaemonSettings;
import org.lavenderwick.adapters.settings.DaemonSettingsLoader;
import org.lavenderwick.adapters.settings.SessionSettings;
import org.lavenderwick.adapters.settings.SessionSettingsLoader;
import org.lavenderwick.adapters.settings.SettingsProblem;
import org.lavenderwick.core.drain.DrainState;
import sun.misc.Signal;

/** Entry point of the program {@code lavenderwickd}. */
public final class Main {
    /** Exit status of a successful run. */
    static final int DONE = 0;

    /** Exit status after a failure at startup or a drain that did not complete. */
    static final int FAILED = 1;

    /** Exit status after invalid arguments or settings. */
    static final int USAGE = 2;

    private static final String PROGRAM = "lavenderwickd";

    private static final String SETTINGS_OPTION = "--settings";

    private static final String SESSIONS_OPTION = "--sessions";

    private static final int DEPLOYED_CALL_WORDS = 3;

    @Parameter(
            names = {SETTINGS_OPTION},
            description = "File with the settings of the daemon, in JSON.")
    private String settings;

    @Parameter(
            names = {SESSIONS_OPTION},
            description = "Serve the session interface on the users' platform.")
    private boolean sessions;

    @Parameter(
            names = {"--check"},
            description = "Check the settings and end.")
    private boolean check;

    @Parameter(
            names = {"--help"},
            description = "Show this text.",
            help = true)
    private boolean help;

    @Parameter(
            names = {"--version"},
            description = "Show the version.",
            help = true)
    private boolean version;

    private Main() {}

    /** Runs the program and exits with its status. A started daemon runs until the process is told to stop. */
    public static void main(String[] arguments) {
        int status = execute(arguments);
        if (status != DONE) {
            System.exit(status);
        }
    }

    /** Runs the program with the given arguments and returns its exit status. */
    static int execute(String... arguments) {
        Main main = new Main();
        return main.recognizeDeployedCall(arguments) ? main.run() : main.parseAndRun(arguments);
    }

    /**
     * Recognizes the call that the deployment makes, {@code --sessions --settings FILE}, without the parser of the
     * options. After a loss of power a whole fleet starts at once on small hosts, and callers wait for the processor
     * time that a start takes; the parser would add 0.04 s to 0.49 s.
     */
    private boolean recognizeDeployedCall(String... arguments) {
        boolean recognized = arguments.length == DEPLOYED_CALL_WORDS
                && arguments[0].equals(SESSIONS_OPTION)
                && arguments[1].equals(SETTINGS_OPTION);
        if (recognized) {
            sessions = true;
            settings = arguments[2];
        }
        return recognized;
    }

    private int parseAndRun(String... arguments) {
        JCommander commander =
                JCommander.newBuilder().programName(PROGRAM).addObject(this).build();
        try {
            commander.parse(arguments);
        } catch (ParameterException e) {
            return fail(USAGE, e.getMessage());
        }
        if (help) {
            commander.usage();
            return DONE;
        }
        if (version) {
            System.out.println(PROGRAM + " " + Version.current());
            return DONE;
        }
        if (settings == null) {
            return fail(USAGE, "the option --settings is missing; see --help");
        }
        return run();
    }

    private int run() {
        Path file = Path.of(settings);
        return sessions
                ? run(SessionSettingsLoader.load(file), loaded -> serveSessions(loaded, file))
                : run(DaemonSettingsLoader.load(file), Main::serve);
    }

    private <T> int run(Either<List<SettingsProblem>, T> loaded, ToIntFunction<T> server) {
        return loaded.isLeft() ? fail(loaded.getLeft()) : check ? DONE : server.applyAsInt(loaded.get());
    }

    private static int serveSessions(SessionSettings settings, Path file) {
        ConsoleLog.install();
        CompletableFuture<SessionDaemon> started = new CompletableFuture<>();
        CompletableFuture<Runnable> reload = new CompletableFuture<>();
        // Before the daemon accepts its first session: the runtime's own handlers would cut the requests.
        handleSignals(started, reload);
        try {
            started.complete(SessionDaemon.start(settings));
        } catch (IOException e) {
            return fail(FAILED, "the daemon does not start: " + e.getMessage());
        }
        reload.complete(started.join().watchSettings(file));
        return waitForStop();
    }

    /**
     * Makes SIGTERM and SIGINT stop the daemon, and SIGHUP reload its settings. The first signal to stop counts; the
     * later ones have no effect.
     *
     * <p>A shutdown hook would lose the log of the stop, because the runtime resets its loggers when it begins to shut
     * down.
     */
    private static void handleSignals(CompletableFuture<SessionDaemon> started, CompletableFuture<Runnable> reload) {
        AtomicBoolean stopping = new AtomicBoolean();
        for (String name : List.of("TERM", "INT")) {
            Signal.handle(new Signal(name), signal -> {
                if (stopping.compareAndSet(false, true)) {
                    stop(started.join());
                }
            });
        }
        Signal.handle(new Signal("HUP"), signal -> reload.thenAccept(Runnable::run));
    }

    private static void stop(SessionDaemon daemon) {
        try {
            daemon.stop();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Runtime.getRuntime().halt(DONE);
    }

    private static int serve(DaemonSettings settings) {
        LogSetup.configure(settings.logFormat());
        Daemon daemon;
        try {
            daemon = Daemon.start(settings);
        } catch (Exception e) {
            return fail(FAILED, "the daemon does not start: " + e.getMessage());
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(daemon), "stop"));
        return waitForStop();
    }

    private static int waitForStop() {
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return DONE;
    }

    /**
     * Drains the daemon and terminates the process. Called from the shutdown hook, as on SIGTERM. Calls {@code halt}
     * because the Java runtime would otherwise exit with the status of a process killed by the signal.
     */
    private static void stop(Daemon daemon) {
        Logger log = Logger.getLogger(Main.class);
        int status = FAILED;
        try {
            DrainState state = daemon.drain().get();
            status = state == DrainState.DONE ? DONE : FAILED;
            log.infof("[daemon] Stopping after the drain ended as %s.", state);
        } catch (ExecutionException e) {
            log.errorf(e, "[daemon] Drain failed; stopping.");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        daemon.close();
        Runtime.getRuntime().halt(status);
    }

    private static int fail(List<SettingsProblem> problems) {
        return fail(USAGE, problems.stream().map(SettingsProblem::toString).collect(Collectors.joining("; ")));
    }

    private static int fail(int status, String message) {
        System.err.println(PROGRAM + ": " + message.replace('\n', ' '));
        return status;
    }
}
