package org.lavenderwick.core.session;

import java.util.Map;
import java.util.Optional;

import com.google.common.collect.ImmutableSortedMap;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.model.LogPoint;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Log points that the reads of a session must observe. For each database group to which the session has written, this
 * is the log point of the latest write that the session has seen. Immutable.
 *
 * @param points log points by group; at most {@value #MAX_GROUPS}
 */
public record SessionToken(Map<GroupName, LogPoint> points) {

    /** Maximum number of groups in a token, which bounds the size of the HTTP header that carries it. */
    public static final int MAX_GROUPS = 32;

    private static final SessionToken EMPTY = new SessionToken(Map.of());

    /** Copies the map, sorted by group name, and checks the number of groups. */
    public SessionToken {
        points = ImmutableSortedMap.copyOf(points);
        checkArgument(points.size() <= MAX_GROUPS, "session token has more than %s groups", MAX_GROUPS);
    }

    /** Returns the token of a session that has not written anything. */
    public static SessionToken empty() {
        return EMPTY;
    }

    /** Returns the log point that reads of a group must observe; empty if the session has not written to the group. */
    public Optional<LogPoint> point(GroupName group) {
        return Optional.ofNullable(points.get(group));
    }

    /**
     * Returns whether the token can hold a log point of the group. A session that has already written to
     * {@value #MAX_GROUPS} other groups must not write to this one, because its token could not ensure that the session
     * reads its own write.
     */
    public boolean hasRoomFor(GroupName group) {
        return points.containsKey(group) || points.size() < MAX_GROUPS;
    }

    /**
     * Returns a token whose log point for the group is the later one of {@code point} and the current log point.
     *
     * @throws IllegalArgumentException if the token cannot hold another group
     */
    public SessionToken with(GroupName group, LogPoint point) {
        LogPoint current = points.get(group);
        if (current != null && current.compareTo(point) >= 0) {
            return this;
        }
        return replace(group, point);
    }

    /**
     * Returns a token whose log point for the group is {@code point}, even if the current one is later. This allows a
     * session to continue after a failover has discarded some of its writes.
     *
     * @throws IllegalArgumentException if the token cannot hold another group
     */
    public SessionToken replace(GroupName group, LogPoint point) {
        ImmutableSortedMap.Builder<GroupName, LogPoint> builder = ImmutableSortedMap.naturalOrder();
        points.forEach((name, value) -> {
            if (!name.equals(group)) {
                builder.put(name, value);
            }
        });
        return new SessionToken(builder.put(group, point).build());
    }
}
