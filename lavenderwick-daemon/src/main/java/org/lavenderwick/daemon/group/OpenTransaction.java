package org.lavenderwick.daemon.group;

import java.time.Duration;
import java.util.concurrent.Future;

import org.lavenderwick.core.model.Term;

/** An open transaction and the connection that it holds. Confined to the event loop of the group. */
final class OpenTransaction {
    private final String id;
    private final EndpointTarget target;
    private final long connection;
    private final Term term;
    private Future<?> idleTimer;
    private boolean stepRunning;

    OpenTransaction(String id, EndpointTarget target, long connection, Term term) {
        this.id = id;
        this.target = target;
        this.connection = connection;
        this.term = term;
    }

    String id() {
        return id;
    }

    EndpointTarget target() {
        return target;
    }

    long connection() {
        return connection;
    }

    Term term() {
        return term;
    }

    boolean isStepRunning() {
        return stepRunning;
    }

    /** Records that a step is running, and stops the idle timeout. */
    void onStepStarted() {
        stepRunning = true;
        cancelIdleTimeout();
    }

    /** Records that no step is running, and starts the idle timeout, after which {@code onIdle} runs on the loop. */
    void onStepEnded(EventLoop loop, Duration idleTimeout, Runnable onIdle) {
        stepRunning = false;
        idleTimer = loop.scheduleAt(loop.now().plus(idleTimeout), onIdle);
    }

    void cancelIdleTimeout() {
        if (idleTimer != null) {
            idleTimer.cancel(false);
        }
    }
}
