package org.lavenderwick.daemon;

import java.util.Optional;

import org.lavenderwick.daemon.group.Policies;

/**
 * What an embedding program may choose beside the settings.
 *
 * @param policies the policies of the daemon as an owner
 * @param advertisedPeerAddress IP address and port at which other daemons reach this one; empty for its own address and
 *     peer port
 */
public record DaemonOptions(Policies policies, Optional<String> advertisedPeerAddress) {
    /** Returns the options of the program: the policies of the fleet, reached where it listens. */
    public static DaemonOptions standard() {
        return new DaemonOptions(Policies.standard(), Optional.empty());
    }

    /** Returns these options with other policies. */
    public DaemonOptions withPolicies(Policies changed) {
        return new DaemonOptions(changed, advertisedPeerAddress);
    }

    /** Returns these options with another address for other daemons. */
    public DaemonOptions withAdvertisedPeerAddress(String address) {
        return new DaemonOptions(policies, Optional.of(address));
    }
}
