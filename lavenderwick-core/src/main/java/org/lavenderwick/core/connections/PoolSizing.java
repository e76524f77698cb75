package org.lavenderwick.core.connections;

import java.time.Duration;

/** Decides how many traffic connections a pool keeps within its share. Implementations are stateless. */
public interface PoolSizing {

    /** Returns whether connections are opened before a request needs them. */
    boolean opensAhead();

    /** Returns whether a connection that has been idle for the given time is closed. */
    boolean closesAfter(Duration idle);
}
