package org.lavenderwick.core.failover;

import org.lavenderwick.core.model.EndpointName;

/**
 * One run of the process of an endpoint. An endpoint that starts again under its name may have lost its log, so a
 * statement about one incarnation says nothing about another.
 *
 * @param name the name of the endpoint
 * @param startedAt when the process started, in Unix milliseconds, as the endpoint states it; {@link #ANY_START} if it
 *     is unknown, or if the endpoint keeps its log across restarts
 */
public record EndpointIncarnation(EndpointName name, long startedAt) {

    /** Start time that matches every other one. */
    public static final long ANY_START = -1;

    /** Returns whether both may be the same run of the same endpoint. */
    public boolean matches(EndpointIncarnation other) {
        return name.equals(other.name)
                && (startedAt == other.startedAt || startedAt == ANY_START || other.startedAt == ANY_START);
    }

    // Written out for the reason given at GroupName.
    @Override
    public boolean equals(Object other) {
        return other instanceof EndpointIncarnation that && that.name.equals(name) && that.startedAt == startedAt;
    }

    @Override
    public int hashCode() {
        return 31 * name.hashCode() + Long.hashCode(startedAt);
    }

    @Override
    public String toString() {
        return startedAt == ANY_START ? name.value() : name + "@" + startedAt;
    }
}
