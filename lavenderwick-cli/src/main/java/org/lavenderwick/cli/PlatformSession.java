package org.lavenderwick.cli;

import java.security.SecureRandom;
import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

import org.lavenderwick.adapters.audit.AuditLog;
import org.lavenderwick.adapters.platform.PlatformPort;
import org.lavenderwick.core.time.MonotonicClock;

/** Connection of one command to the platform and to the audit log on it. */
final class PlatformSession implements AutoCloseable {

    private static final MonotonicClock CLOCK = () -> Duration.ofNanos(System.nanoTime());

    private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "audit");
        thread.setDaemon(true);
        return thread;
    });
    private final PlatformPort platform;
    private final AuditLog audit;

    private PlatformSession(PlatformPort platform) {
        this.platform = platform;
        this.audit = AuditLog.create(platform, executor, CLOCK, new SecureRandom());
    }

    static PlatformSession open(PlatformOptions options) {
        return new PlatformSession(options.open(CLOCK));
    }

    PlatformPort platform() {
        return platform;
    }

    AuditLog audit() {
        return audit;
    }

    @Override
    public void close() {
        executor.shutdownNow();
        platform.close();
    }
}
