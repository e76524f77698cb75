package org.lavenderwick.daemon.group;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.google.common.util.concurrent.ThreadFactoryBuilder;
import org.jboss.logging.Logger;
import org.lavenderwick.core.time.MonotonicClock;

/** One thread that runs tasks in order. State that only its tasks touch needs no locks. */
public final class EventLoop implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(EventLoop.class);

    private final ScheduledExecutorService executor;
    private final MonotonicClock clock;

    private EventLoop(ScheduledExecutorService executor, MonotonicClock clock) {
        this.executor = executor;
        this.clock = clock;
    }

    /** Starts a loop whose thread has the given name. */
    public static EventLoop start(String name, MonotonicClock clock) {
        ScheduledThreadPoolExecutor executor = new ScheduledThreadPoolExecutor(
                1,
                new ThreadFactoryBuilder().setNameFormat(name).setDaemon(true).build());
        executor.setRemoveOnCancelPolicy(true);
        return new EventLoop(executor, clock);
    }

    /** Returns the monotonic time. */
    public Duration now() {
        return clock.now();
    }

    /** Runs a task on the loop. After the loop was closed the task is dropped. */
    public void execute(Runnable task) {
        try {
            executor.execute(loggingExceptions(task));
        } catch (RejectedExecutionException e) {
            LOG.debugf("[loop] A task came after the end.");
        }
    }

    /** Runs a task on the loop at the given monotonic time. */
    public Future<?> scheduleAt(Duration time, Runnable task) {
        long delay = Math.max(0, time.minus(now()).toNanos());
        try {
            return executor.schedule(loggingExceptions(task), delay, TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException e) {
            return CompletableFuture.completedFuture(null);
        }
    }

    /** Hands the result of a future, which never completes exceptionally, to a consumer on the loop. */
    public <T> void deliver(CompletableFuture<T> future, Consumer<T> consumer) {
        future.whenComplete((result, error) -> {
            if (error != null) {
                LOG.errorf(error, "[loop] A call failed.");
            } else {
                execute(() -> consumer.accept(result));
            }
        });
    }

    private static Runnable loggingExceptions(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                LOG.errorf(e, "[loop] A task failed.");
            }
        };
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
