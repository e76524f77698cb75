package org.lavenderwick.daemon;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.atomic.AtomicInteger;

import com.google.common.util.concurrent.ThreadFactoryBuilder;
import org.lavenderwick.core.time.MonotonicClock;
import org.lavenderwick.daemon.group.EventLoop;

/**
 * The threads of a daemon: the control event loop, the event loops of the groups, a pool that builds responses, and a
 * timer for timeouts.
 */
final class DaemonThreads implements AutoCloseable {
    private final MonotonicClock clock;
    private final EventLoop controlLoop;
    private final List<EventLoop> groupLoops = new ArrayList<>();
    private final ExecutorService responseExecutor;
    private final ScheduledExecutorService timer;
    private final AtomicInteger nextLoopIndex = new AtomicInteger();

    private DaemonThreads(int trafficThreads) {
        long origin = System.nanoTime();
        clock = () -> Duration.ofNanos(System.nanoTime() - origin);
        controlLoop = EventLoop.start("control", clock);
        // Half of the threads run groups; the other half decode and encode session tokens and build responses.
        int groupLoopCount = Math.max(1, trafficThreads / 2);
        for (int i = 0; i < groupLoopCount; i++) {
            groupLoops.add(EventLoop.start("group-" + i, clock));
        }
        responseExecutor = Executors.newFixedThreadPool(
                Math.max(1, trafficThreads - groupLoopCount),
                new ThreadFactoryBuilder()
                        .setNameFormat("answer-%d")
                        .setDaemon(true)
                        .build());
        ScheduledThreadPoolExecutor timeouts = new ScheduledThreadPoolExecutor(
                1,
                new ThreadFactoryBuilder()
                        .setNameFormat("timer")
                        .setDaemon(true)
                        .build());
        // Most timeouts are cancelled when a response arrives; without this they would stay queued until they are due.
        timeouts.setRemoveOnCancelPolicy(true);
        timer = timeouts;
    }

    /**
     * Starts the threads of a daemon.
     *
     * @param trafficThreads number of threads that are divided between groups and responses
     */
    static DaemonThreads start(int trafficThreads) {
        return new DaemonThreads(trafficThreads);
    }

    MonotonicClock clock() {
        return clock;
    }

    EventLoop controlLoop() {
        return controlLoop;
    }

    /** Returns the event loop for the next group, in round-robin order. */
    EventLoop nextGroupLoop() {
        return groupLoops.get(Math.floorMod(nextLoopIndex.getAndIncrement(), groupLoops.size()));
    }

    ExecutorService responseExecutor() {
        return responseExecutor;
    }

    ScheduledExecutorService timer() {
        return timer;
    }

    @Override
    public void close() {
        controlLoop.close();
        groupLoops.forEach(EventLoop::close);
        responseExecutor.shutdown();
        timer.shutdownNow();
    }
}
