package org.lavenderwick.daemon.session;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

import org.lavenderwick.adapters.session.CallerCodec;
import org.lavenderwick.core.catalog.RouteOrigin;
import org.lavenderwick.core.model.GroupName;

/**
 * The owners of a group to which a session may still be relayed, in order of preference, and the line that opens it
 * there. Confined to the traffic thread.
 */
final class UntriedOwners {

    private final Deque<Peer> owners;
    private final String opening;

    private UntriedOwners(List<Peer> owners, String opening) {
        this.owners = new ArrayDeque<>(owners);
        this.opening = opening;
    }

    /** Returns an empty list, for a session that is served here. */
    static UntriedOwners none() {
        return new UntriedOwners(List.of(), "");
    }

    /**
     * Returns the owners for a session whose access is granted. Those that do not respond come last if the session
     * belongs to an account.
     *
     * @param firstLine the line with which the caller opened the session
     * @param now the present time of the event loop
     */
    static UntriedOwners find(
            SessionProxy proxy, CallerCodec codec, DatabaseAccess access, String firstLine, Duration now) {
        GroupName group = proxy.routes().find(access.database()).get().group();
        List<Peer> owners = new ArrayList<>(proxy.relayCandidates(group, access.account()));
        if (owners.isEmpty()) {
            return none();
        }
        if (access.account().isPresent()) {
            owners.sort(Comparator.comparing(peer -> proxy.unresponsiveOwners().isUnresponsive(peer, now)));
        }
        RouteOrigin origin = new RouteOrigin(proxy.catalog().orElseThrow().version(), group);
        return new UntriedOwners(
                owners,
                access.rules().accounts().isEmpty()
                        ? RelayProtocol.format(firstLine, origin)
                        : RelayProtocol.format(
                                codec.connect(access.database()),
                                origin,
                                new RelayProtocol.RelayedKey(access.key(), access.account())));
    }

    /** Removes and returns the next owner; empty if none is left. */
    Optional<Peer> next() {
        return Optional.ofNullable(owners.poll());
    }

    /** Returns the line that opens the session at an owner. */
    String opening() {
        return opening;
    }
}
