package org.lavenderwick.daemon;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

import io.vavr.control.Either;
import org.lavenderwick.adapters.settings.SessionSettings;
import org.lavenderwick.adapters.settings.SessionSettingsLoader;
import org.lavenderwick.adapters.settings.SettingsProblem;
import sun.misc.Signal;

/**
 * Entry point that only serves the session interface, with the settings file as its single argument. It does the same
 * as {@code lavenderwickd --sessions --settings FILE} without loading the parser of the options: after a loss of power
 * a whole fleet starts at once on small hosts, and callers wait for the processor time that a start takes.
 */
public final class SessionMain {

    private SessionMain() {}

    /** Runs the daemon until the process is told to stop, or exits with a status that is not 0. */
    public static void main(String[] arguments) {
        int status = arguments.length == 1
                ? run(Path.of(arguments[0]))
                : Main.fail(Main.USAGE, "expected the settings file as the only argument");
        if (status != Main.DONE) {
            System.exit(status);
        }
    }

    private static int run(Path file) {
        Either<List<SettingsProblem>, SessionSettings> settings = SessionSettingsLoader.load(file);
        return settings.isLeft() ? Main.fail(settings.getLeft()) : serve(settings.get(), file);
    }

    /** Serves sessions until the process is told to stop, and returns its exit status. */
    static int serve(SessionSettings settings, Path file) {
        ConsoleLog.install();
        SessionDaemon daemon;
        try {
            daemon = SessionDaemon.start(settings);
        } catch (IOException e) {
            return Main.fail(Main.FAILED, "the daemon does not start: " + e.getMessage());
        }
        Runnable reload = daemon.watchSettings(file);
        // SIGHUP reloads the settings; without a handler it would terminate the process.
        Signal.handle(new Signal("HUP"), signal -> reload.run());
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(daemon), "stop"));
        return Main.waitForStop();
    }

    private static void stop(SessionDaemon daemon) {
        try {
            daemon.stop();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Runtime.getRuntime().halt(Main.DONE);
    }
}
