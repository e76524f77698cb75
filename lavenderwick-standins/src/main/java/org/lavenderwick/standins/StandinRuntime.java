package org.lavenderwick.standins;

import java.time.Duration;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.json.JsonMapper;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.io.ArrayByteBufferPool;
import org.eclipse.jetty.io.ByteBufferPool;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.lavenderwick.adapters.endpoint.EndpointMessages;

/** Threads, timers and JSON mapper that the stand-ins of one process share. */
public final class StandinRuntime implements AutoCloseable {

    /** Each server keeps one thread for its selector; a fleet of stand-ins has some dozens of servers. */
    private static final int MAX_THREADS = 200;

    private static final int MIN_THREADS = 8;

    private static final int TIMER_THREADS = 2;

    private final QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
    private final ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler("standin-scheduler", true);
    private final ByteBufferPool buffers = new ArrayByteBufferPool();
    private final ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(TIMER_THREADS, task -> {
        Thread thread = new Thread(task, "standin-timer");
        thread.setDaemon(true);
        return thread;
    });
    private final JsonMapper mapper = EndpointMessages.createMapper();

    private StandinRuntime() {
        threads.setName("standin");
        threads.setDaemon(true);
        threads.setReservedThreads(0);
        timer.setRemoveOnCancelPolicy(true);
    }

    /** Returns a started runtime. */
    public static StandinRuntime start() {
        StandinRuntime runtime = new StandinRuntime();
        try {
            runtime.threads.start();
            runtime.scheduler.start();
        } catch (Exception e) {
            throw new IllegalStateException("the threads of the stand-ins do not start", e);
        }
        return runtime;
    }

    @Override
    public void close() {
        timer.shutdownNow();
        try {
            scheduler.stop();
            threads.stop();
        } catch (Exception e) {
            throw new IllegalStateException("the threads of the stand-ins do not stop", e);
        }
    }

    ScheduledThreadPoolExecutor timer() {
        return timer;
    }

    JsonMapper mapper() {
        return mapper;
    }

    /** Runs a task on a thread of the servers. */
    void execute(Runnable task) {
        threads.execute(task);
    }

    /** Runs a task on a thread of the servers after a delay. */
    void schedule(Runnable task, Duration delay) {
        if (delay.isZero()) {
            execute(task);
        } else {
            timer.schedule(() -> execute(task), delay.toNanos(), TimeUnit.NANOSECONDS);
        }
    }

    /** Returns a server without connectors. */
    Server newServer() {
        Server server = new Server(threads, scheduler, buffers);
        server.setStopTimeout(0);
        return server;
    }

    /** Returns a connector that accepts any percent-encoded path and never closes idle connections. */
    static ServerConnector newConnector(Server server, String host, int port) {
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setSendServerVersion(false);
        configuration.setUriCompliance(UriCompliance.UNSAFE);
        ServerConnector connector = new ServerConnector(server, 0, 1, new HttpConnectionFactory(configuration));
        connector.setHost(host);
        connector.setPort(port);
        connector.setIdleTimeout(0);
        connector.setReuseAddress(true);
        connector.setShutdownIdleTimeout(0);
        server.addConnector(connector);
        return connector;
    }
}
