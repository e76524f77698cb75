package org.lavenderwick.daemon.control;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import io.vavr.control.Either;
import org.lavenderwick.adapters.platform.PlatformPort;
import org.lavenderwick.adapters.platform.VersionedValue;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.daemon.group.EventLoop;

/**
 * Watcher of one key of the platform. It watches the key while this daemon is one of the watchers, and otherwise reads
 * it until the daemon has a first value. After a failed call it retries with exponential backoff and full jitter.
 * Confined to the control thread.
 */
final class PlatformKeyWatcher {
    /** Time after which a watch that has seen no change returns and is renewed. */
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(20);

    /** Interval between checks while there is nothing to watch or the key does not exist. */
    private static final Duration IDLE_INTERVAL = Duration.ofSeconds(1);

    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(200);
    private static final int MAX_BACKOFF_DOUBLINGS = 6;

    private final PlatformPort platform;
    private final String key;
    private final EventLoop control;
    private final RandomGenerator random;
    private final BooleanSupplier isWatcher;
    private final BooleanSupplier needsInitialValue;
    private final Consumer<VersionedValue> listener;
    private long revision;
    private int consecutiveFailures;

    /**
     * Creates a watcher, which does nothing before {@link #poll}.
     *
     * @param platform client of the platform
     * @param key the key to watch
     * @param control event loop of the control thread
     * @param random random generator for jitter
     * @param isWatcher returns whether this daemon currently watches the key
     * @param needsInitialValue returns whether this daemon has no value yet
     * @param listener called with each value read
     */
    PlatformKeyWatcher(
            PlatformPort platform,
            String key,
            EventLoop control,
            RandomGenerator random,
            BooleanSupplier isWatcher,
            BooleanSupplier needsInitialValue,
            Consumer<VersionedValue> listener) {
        this.platform = platform;
        this.key = key;
        this.control = control;
        this.random = random;
        this.isWatcher = isWatcher;
        this.needsInitialValue = needsInitialValue;
        this.listener = listener;
    }

    /** Watches or reads the key, and schedules the next call. */
    void poll() {
        if (isWatcher.getAsBoolean() && revision != PlatformPort.ABSENT) {
            handle(platform.watch(key, revision, WATCH_TIMEOUT));
        } else if (isWatcher.getAsBoolean() || needsInitialValue.getAsBoolean()) {
            handle(platform.read(key));
        } else {
            schedule(IDLE_INTERVAL);
        }
    }

    private void handle(CompletableFuture<Either<Failure, Optional<VersionedValue>>> call) {
        control.deliver(call, result -> {
            if (result.isLeft()) {
                long maxDelayMs = INITIAL_BACKOFF.toMillis() << Math.min(consecutiveFailures, MAX_BACKOFF_DOUBLINGS);
                consecutiveFailures++;
                schedule(Duration.ofMillis(1 + random.nextLong(maxDelayMs)));
                return;
            }
            consecutiveFailures = 0;
            Optional<VersionedValue> value = result.get();
            value.ifPresent(seen -> revision = seen.revision());
            // A key that does not exist has no revision to watch from, so it is read again after a delay.
            schedule(value.isEmpty() && revision == PlatformPort.ABSENT ? IDLE_INTERVAL : Duration.ZERO);
            value.ifPresent(listener);
        });
    }

    private void schedule(Duration delay) {
        control.scheduleAt(control.now().plus(delay), this::poll);
    }
}
