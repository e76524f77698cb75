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
 * Follows one key of the platform while this daemon is one of the watchers, and reads it now and then while it needs a
 * first value. Backs off with full jitter when the platform does not answer. Confined to the control thread.
 */
final class PlatformWatch {
    /** Time after which a watch without a change is renewed. */
    private static final Duration WAIT = Duration.ofSeconds(20);

    private static final Duration IDLE_LOOK = Duration.ofSeconds(1);
    private static final Duration FIRST_BACKOFF = Duration.ofMillis(200);
    private static final int MAX_DOUBLINGS = 6;

    private final PlatformPort platform;
    private final String key;
    private final EventLoop control;
    private final RandomGenerator random;
    private final BooleanSupplier watches;
    private final BooleanSupplier needsFirst;
    private final Consumer<VersionedValue> listener;
    private long revision;
    private int failures;

    /**
     * Creates a watch.
     *
     * @param platform the platform
     * @param key the key
     * @param control the control thread
     * @param random source of jitter
     * @param watches whether this daemon watches the key now
     * @param needsFirst whether this daemon has no value yet
     * @param listener takes each new value
     */
    PlatformWatch(
            PlatformPort platform,
            String key,
            EventLoop control,
            RandomGenerator random,
            BooleanSupplier watches,
            BooleanSupplier needsFirst,
            Consumer<VersionedValue> listener) {
        this.platform = platform;
        this.key = key;
        this.control = control;
        this.random = random;
        this.watches = watches;
        this.needsFirst = needsFirst;
        this.listener = listener;
    }

    void run() {
        if (watches.getAsBoolean() && revision != PlatformPort.ABSENT) {
            follow(platform.watch(key, revision, WAIT));
        } else if (watches.getAsBoolean() || needsFirst.getAsBoolean()) {
            follow(platform.read(key));
        } else {
            again(IDLE_LOOK);
        }
    }

    private void follow(CompletableFuture<Either<Failure, Optional<VersionedValue>>> call) {
        control.deliver(call, answer -> {
            if (answer.isLeft()) {
                long bound = FIRST_BACKOFF.toMillis() << Math.min(failures, MAX_DOUBLINGS);
                failures++;
                again(Duration.ofMillis(1 + random.nextLong(bound)));
                return;
            }
            failures = 0;
            Optional<VersionedValue> value = answer.get();
            value.ifPresent(seen -> revision = seen.revision());
            // A key that does not exist yet cannot be watched from a revision, so it is read again after a pause.
            again(value.isEmpty() && revision == PlatformPort.ABSENT ? IDLE_LOOK : Duration.ZERO);
            value.ifPresent(listener);
        });
    }

    private void again(Duration pause) {
        control.scheduleAt(control.now().plus(pause), this::run);
    }
}
