package org.lavenderwick.core.session;

import java.util.Map;
import java.util.Optional;

import com.google.common.collect.ImmutableSortedMap;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.model.LogPoint;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * What a session must see: for each database group it wrote to, the log position of the newest write it saw. Immutable.
 *
 * @param points the positions by group, at most {@value #MAX_GROUPS}
 */
public record SessionToken(Map<GroupName, LogPoint> points) {

    /** Largest number of groups in one token; bounds the size of the header that carries it. */
    public static final int MAX_GROUPS = 32;

    private static final SessionToken EMPTY = new SessionToken(Map.of());

    /** Copies the map in the order of the names and checks the number of groups. */
    public SessionToken {
        points = ImmutableSortedMap.copyOf(points);
        checkArgument(points.size() <= MAX_GROUPS, "a session token holds at most %s groups", MAX_GROUPS);
    }

    /** Returns the token of a session that has not written yet. */
    public static SessionToken empty() {
        return EMPTY;
    }

    /** Returns the position that the session must see in a group, if it wrote there. */
    public Optional<LogPoint> point(GroupName group) {
        return Optional.ofNullable(points.get(group));
    }

    /**
     * Returns whether a write to the group can be recorded. A session that has written to {@value #MAX_GROUPS} other
     * groups must not write to one more, because its token could not guarantee that it reads the write.
     */
    public boolean hasRoomFor(GroupName group) {
        return points.containsKey(group) || points.size() < MAX_GROUPS;
    }

    /**
     * Returns a token that also covers the given position. An earlier position than the recorded one changes nothing.
     *
     * @throws IllegalArgumentException if there is no room for the group
     */
    public SessionToken with(GroupName group, LogPoint point) {
        LogPoint recorded = points.get(group);
        if (recorded != null && recorded.compareTo(point) >= 0) {
            return this;
        }
        return replace(group, point);
    }

    /**
     * Returns a token with the given position in place of the recorded one, also if it is earlier. Used after a
     * failover dropped writes of the session, so that the session can continue.
     *
     * @throws IllegalArgumentException if there is no room for the group
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
