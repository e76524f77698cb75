package org.lavenderwick.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import io.vavr.control.Either;
import org.jboss.logging.Logger;
import org.lavenderwick.adapters.settings.SessionSettings;
import org.lavenderwick.adapters.settings.SessionSettingsLoader;
import org.lavenderwick.adapters.settings.SettingsProblem;

/**
 * A task that reloads the settings when their file has changed or when a reload is requested. Invalid settings are
 * logged and ignored.
 */
final class SettingsReload implements Runnable {

    /** Interval between checks of the file's modification time. */
    private static final Duration CHECK_INTERVAL = Duration.ofSeconds(1);

    private static final Logger LOG = Logger.getLogger(SettingsReload.class);

    private final Path file;
    private final Consumer<SessionSettings> listener;
    private final Semaphore requests = new Semaphore(0);
    private SessionSettings current;
    private FileTime lastModified;

    SettingsReload(Path file, SessionSettings current, Consumer<SessionSettings> listener) {
        this.file = file;
        this.current = current;
        this.listener = listener;
    }

    /** Requests an immediate reload. May be called from any thread. */
    void request() {
        requests.release();
    }

    @Override
    public void run() {
        try {
            lastModified = Files.getLastModifiedTime(file);
        } catch (IOException e) {
            LOG.warnf("[settings] Cannot stat the settings file: %s; trying again at the next check.", e.getMessage());
        }
        try {
            while (!Thread.currentThread().isInterrupted()) {
                check(requests.tryAcquire(CHECK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Reloads the settings if their file has changed or {@code requested} is set. */
    void check(boolean requested) {
        try {
            FileTime modified = Files.getLastModifiedTime(file);
            if (requested || !modified.equals(lastModified)) {
                lastModified = modified;
                reload();
            }
        } catch (IOException e) {
            LOG.warnf("[settings] Cannot check the settings file: %s; keeping the current settings.", e.getMessage());
        }
    }

    private void reload() {
        Either<List<SettingsProblem>, SessionSettings> loaded = SessionSettingsLoader.load(file);
        if (loaded.isLeft()) {
            LOG.errorf(
                    "[settings] Changed settings are invalid: %s; keeping the current settings.",
                    loaded.getLeft().stream().map(SettingsProblem::toString).collect(Collectors.joining("; ")));
        } else if (!loaded.get().equals(current)) {
            current = loaded.get();
            LOG.info("[settings] Changed settings are applied; changed listen addresses take effect after a restart.");
            listener.accept(current);
        }
    }
}
