package org.lavenderwick.daemon.session;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.jboss.logging.Logger;
import org.lavenderwick.core.time.MonotonicClock;

/**
 * The event loop of the traffic thread. It waits for sockets, tasks and ticks, and runs their handlers. Unless noted,
 * the methods must be called on the thread that runs the loop.
 */
public final class EventLoop implements Runnable {

    /** Time between ticks, which is the resolution of all request timeouts. */
    static final Duration TICK_INTERVAL = Duration.ofMillis(20);

    /** Time between ticks while the ticker reports that nothing is pending. */
    private static final Duration IDLE_TICK_INTERVAL = Duration.ofMillis(250);

    /** Maximum number of bytes read from a socket at once. */
    private static final int READ_BUFFER_BYTES = 64 << 10;

    private static final Logger LOG = Logger.getLogger(EventLoop.class);

    /** A handler for the events of a channel. */
    interface Handler {
        /** The channel is ready for an operation that it is registered for. */
        void onReady(SelectionKey key) throws IOException;

        /** Handling an event has failed with an I/O error. */
        void onFailure(String reason);
    }

    /** A periodic action that checks timeouts. */
    interface Ticker {
        /** Handles the timeouts that have expired, and returns whether anything still depends on a timeout. */
        boolean tick(Duration now);
    }

    private final Selector selector;
    private final MonotonicClock clock;
    private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BUFFER_BYTES);
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final Set<LineConnection> connectionsToFlush = new LinkedHashSet<>();
    private final Set<LineConnection> closingConnections = new HashSet<>();
    private final CountDownLatch ended = new CountDownLatch(1);
    private final Object wakeupLock = new Object();
    private Ticker ticker = now -> false;
    private Runnable wakeupAction = () -> {};
    private Duration now;
    private boolean tickPending;
    private volatile boolean stopped;

    private EventLoop(Selector selector, MonotonicClock clock) {
        this.selector = selector;
        this.clock = clock;
        this.now = clock.now();
    }

    /** Creates a loop, which starts when it is run. */
    public static EventLoop open(MonotonicClock clock) throws IOException {
        return new EventLoop(Selector.open(), clock);
    }

    /** Sets the action that runs at each tick. Must be called before the loop runs. */
    public void onTick(Ticker newTicker) {
        ticker = newTicker;
    }

    /** Sets the action that runs at each wakeup, before any event is handled. Must be called before the loop runs. */
    public void onWakeup(Runnable action) {
        wakeupAction = action;
    }

    /** Returns the monotonic time at which the current iteration of the loop began. */
    public Duration now() {
        return now;
    }

    /** Returns the current monotonic time, which is later than {@link #now} during a long iteration. */
    Duration currentTime() {
        return clock.now();
    }

    /** Runs a task on the thread of the loop. May be called from any thread. */
    public void execute(Runnable task) {
        tasks.add(task);
        wakeUp();
    }

    /**
     * Stops the loop after the current iteration and closes its channels. Has no effect after the first call. May be
     * called from any thread.
     */
    public void stop() {
        stopped = true;
        wakeUp();
    }

    /**
     * Waits until the loop has stopped and closed its channels. May be called from any thread but that of the loop.
     *
     * @return whether it has; false if the time is over
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    public boolean awaitEnd(Duration timeout) throws InterruptedException {
        return ended.await(timeout.toNanos(), TimeUnit.NANOSECONDS);
    }

    /** Wakes up the selector unless it is closed: its descriptor may belong to another channel then. */
    private void wakeUp() {
        synchronized (wakeupLock) {
            if (selector.isOpen()) {
                selector.wakeup();
            }
        }
    }

    /** Registers a channel for selection operations and makes it non-blocking. */
    SelectionKey register(SelectableChannel channel, int operations, Handler handler) throws IOException {
        channel.configureBlocking(false);
        return channel.register(selector, operations, handler);
    }

    /** Returns the empty buffer that all connections of the loop share for a single read. */
    ByteBuffer readBuffer() {
        readBuffer.clear();
        return readBuffer;
    }

    /** Records that a connection closes as soon as its queued lines are sent. */
    void onClosing(LineConnection connection) {
        closingConnections.add(connection);
    }

    /** Records that a connection is closed. */
    void onClosed(LineConnection connection) {
        closingConnections.remove(connection);
    }

    /** Returns whether a connection that closes has queued lines that are not sent yet. */
    boolean hasClosingConnections() {
        return !closingConnections.isEmpty();
    }

    /** Schedules a flush of a connection for the end of the current iteration. */
    void scheduleFlush(LineConnection connection) {
        connectionsToFlush.add(connection);
    }

    @Override
    public void run() {
        boolean timeoutsPending = true;
        Duration nextTick = clock.now();
        while (!stopped) {
            try {
                Duration wait = nextTick.minus(clock.now());
                if (wait.toMillis() > 0 && tasks.isEmpty()) {
                    selector.select(wait.toMillis());
                } else {
                    selector.selectNow();
                }
            } catch (IOException e) {
                LOG.errorf(e, "[session] The event loop stops because its selector failed.");
                return;
            }
            now = clock.now();
            runGuarded("the check at wakeup", wakeupAction);
            runTasks();
            handleReady();
            if (now.compareTo(nextTick) >= 0 || !timeoutsPending) {
                // After a failed tick the next one is due as if timeouts were pending, because nothing is known.
                tickPending = true;
                runGuarded("a tick", () -> tickPending = ticker.tick(now));
                timeoutsPending = tickPending;
                nextTick = now.plus(timeoutsPending ? TICK_INTERVAL : IDLE_TICK_INTERVAL);
            }
            flush();
        }
        closeAll();
    }

    private void closeAll() {
        for (SelectionKey key : List.copyOf(selector.keys())) {
            try {
                key.channel().close();
            } catch (IOException e) {
                LOG.debugf("[session] Failed to close a channel of the event loop: %s", e);
            }
        }
        synchronized (wakeupLock) {
            try {
                selector.close();
            } catch (IOException e) {
                LOG.debugf("[session] Failed to close the selector of the event loop: %s", e);
            }
        }
        ended.countDown();
    }

    private void runTasks() {
        for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
            runGuarded("a task", task);
        }
    }

    /**
     * Runs an action. An unexpected error is logged and ends only that action: all sessions of the daemon depend on
     * this loop, so a single message must not end it.
     */
    private static void runGuarded(String description, Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            LOG.errorf(e, "[session] The event loop continues after an unexpected error in %s.", description);
        }
    }

    private void handleReady() {
        Set<SelectionKey> selected = selector.selectedKeys();
        for (SelectionKey key : selected) {
            Handler handler = (Handler) key.attachment();
            try {
                if (key.isValid()) {
                    handler.onReady(key);
                }
            } catch (IOException e) {
                runGuarded("the handling of a failed channel", () -> handler.onFailure(e.getMessage()));
            } catch (RuntimeException e) {
                LOG.errorf(e, "[session] Closing a channel after an unexpected error in the handling of its events.");
                runGuarded("the handling of a failed channel", () -> handler.onFailure("an unexpected error: " + e));
            }
        }
        selected.clear();
    }

    private void flush() {
        while (!connectionsToFlush.isEmpty()) {
            List<LineConnection> batch = new ArrayList<>(connectionsToFlush);
            connectionsToFlush.clear();
            batch.forEach(connection -> runGuarded("a flush", connection::flush));
        }
    }
}
