package org.lavenderwick.core.connections;

import java.time.Duration;

/** A policy for how many connections a pool keeps open within its share. Implementations are immutable. */
public interface PoolSizing {

    /** Returns whether the pool opens connections before a request needs them. */
    boolean opensEagerly();

    /** Returns whether the pool closes a traffic connection that has been idle for the given time. */
    boolean closesAfter(Duration idleTime);
}
