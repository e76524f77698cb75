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

/** Reads the settings again when the file has changed, or at once on request. Settings with a fault change nothing. */
final class SettingsReload implements Runnable {

    /** Time between looks at the file; a change without a signal is noticed within it. */
    private static final Duration INTERVAL = Duration.ofSeconds(1);

    private static final Logger LOG = Logger.getLogger(SettingsReload.class);

    private final Path file;
    private final Consumer<SessionSettings> listener;
    private final Semaphore requests = new Semaphore(0);
    private SessionSettings current;
    private FileTime modified;

    SettingsReload(Path file, SessionSettings current, Consumer<SessionSettings> listener) {
        this.file = file;
        this.current = current;
        this.listener = listener;
    }

    /** Asks for a reading now. May be called from any thread. */
    void request() {
        requests.release();
    }

    @Override
    public void run() {
        try {
            modified = Files.getLastModifiedTime(file);
        } catch (IOException e) {
            LOG.warnf("[settings] The file cannot be watched: %s.", e.getMessage());
        }
        try {
            while (!Thread.currentThread().isInterrupted()) {
                check(requests.tryAcquire(INTERVAL.toMillis(), TimeUnit.MILLISECONDS));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Reads the file if it has changed or if that was asked for. */
    void check(boolean requested) {
        try {
            FileTime now = Files.getLastModifiedTime(file);
            if (requested || !now.equals(modified)) {
                modified = now;
                reload();
            }
        } catch (IOException e) {
            LOG.warnf("[settings] The file cannot be read: %s.", e.getMessage());
        }
    }

    private void reload() {
        Either<List<SettingsProblem>, SessionSettings> loaded = SessionSettingsLoader.load(file);
        if (loaded.isLeft()) {
            LOG.errorf(
                    "[settings] The changed settings are refused: %s.",
                    loaded.getLeft().stream().map(SettingsProblem::toString).collect(Collectors.joining("; ")));
        } else if (!loaded.get().equals(current)) {
            current = loaded.get();
            LOG.info("[settings] The changed settings are in force; addresses to listen at need a restart.");
            listener.accept(current);
        }
    }
}
