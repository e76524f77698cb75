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

/** Single thread that runs tasks in order. State that is accessed only by its tasks needs no locks. */
public final class EventLoop implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(EventLoop.class);

    private final ScheduledExecutorService executor;
    private final MonotonicClock clock;

    private EventLoop(ScheduledExecutorService executor, MonotonicClock clock) {
        this.executor = executor;
        this.clock = clock;
    }

    /** Returns a started loop whose thread has the given name. */
    public static EventLoop start(String name, MonotonicClock clock) {
        ScheduledThreadPoolExecutor executor = new ScheduledThreadPoolExecutor(
                1,
                new ThreadFactoryBuilder().setNameFormat(name).setDaemon(true).build());
        executor.setRemoveOnCancelPolicy(true);
        return new EventLoop(executor, clock);
    }

    /** Returns the monotonic time of the clock of this loop. */
    public Duration now() {
        return clock.now();
    }

    /** Runs a task on the loop. Once the loop is closed, tasks are dropped. */
    public void execute(Runnable task) {
        try {
            executor.execute(loggingExceptions(task));
        } catch (RejectedExecutionException e) {
            LOG.debugf("[loop] The event loop is closed; the task is dropped.");
        }
    }

    /**
     * Schedules a task to run on the loop at the given monotonic time, or as soon as possible if that has passed.
     *
     * @return a future that cancels the task; already complete if the loop is closed and the task was dropped
     */
    public Future<?> scheduleAt(Duration time, Runnable task) {
        long delay = Math.max(0, time.minus(now()).toNanos());
        try {
            return executor.schedule(loggingExceptions(task), delay, TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException e) {
            return CompletableFuture.completedFuture(null);
        }
    }

    /**
     * Passes the result of a future to a consumer on the loop. The future must not complete exceptionally; if it does,
     * the error is logged and the consumer is not called.
     */
    public <T> void deliver(CompletableFuture<T> future, Consumer<T> consumer) {
        future.whenComplete((result, error) -> {
            if (error != null) {
                LOG.errorf(error, "[loop] A future completed exceptionally; its consumer is not called.");
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
                LOG.errorf(e, "[loop] A task threw an exception; the loop continues with the next task.");
            }
        };
    }

    /** Stops the loop without running the tasks that are still waiting. */
    @Override
    public void close() {
        executor.shutdownNow();
    }
}
