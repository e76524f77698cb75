package org.lavenderwick.core.failover;

import java.util.Map;
import java.util.Set;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.lavenderwick.core.catalog.EndpointEntry;
import org.lavenderwick.core.model.EndpointName;

/**
 * What a daemon knows of a group from the store at one moment.
 *
 * @param members the endpoints that may be asked, by name; those whose entries have just gone among them
 * @param missing the members without an entry
 * @param startTimes when the process of each of them started, in Unix milliseconds, as it states itself; endpoints that
 *     do not state it are absent
 * @param syncReplicas how many replicas must have received a commit before it is acknowledged; 0 if none
 * @param revision the revision of the store content that this is based on
 */
public record GroupDirectory(
        Map<EndpointName, EndpointEntry> members,
        Set<EndpointName> missing,
        Map<EndpointName, Long> startTimes,
        int syncReplicas,
        long revision) {

    /** Copies the collections. */
    public GroupDirectory {
        members = ImmutableMap.copyOf(members);
        missing = ImmutableSet.copyOf(missing);
        startTimes = ImmutableMap.copyOf(startTimes);
    }

    /** Returns the incarnation of a member. */
    public EndpointIncarnation incarnation(EndpointName member) {
        return new EndpointIncarnation(member, startTimes.getOrDefault(member, EndpointIncarnation.ANY_START));
    }

    /** Returns whether an endpoint has an entry. */
    public boolean isRegistered(EndpointName name) {
        return members.containsKey(name) && !missing.contains(name);
    }

    /** Returns the incarnations of all registered endpoints but one. */
    public Set<EndpointIncarnation> incarnationsExcept(EndpointName excluded) {
        return members.keySet().stream()
                .filter(name -> isRegistered(name) && !name.equals(excluded))
                .map(this::incarnation)
                .collect(ImmutableSet.toImmutableSet());
    }
}
