package org.lavenderwick.daemon;

import java.time.Duration;
import java.util.Optional;

import org.lavenderwick.daemon.group.Policies;

/**
 * What an embedding program may choose beside the settings.
 *
 * @param policies the policies of the daemon as an owner
 * @param advertisedPeerAddress IP address and port at which other daemons reach this one; empty for its own address and
 *     peer port
 * @param shareRaiseWait how long an owner leaves a raised connection share unused
 */
public record DaemonOptions(Policies policies, Optional<String> advertisedPeerAddress, Duration shareRaiseWait) {
    /**
     * Time within which a seat table reaches every owner that can use the same endpoints. Peers push news at once, and
     * 720 of them were reached within 8 rounds, so most of it is reserve.
     */
    private static final Duration SHARE_RAISE_WAIT = Duration.ofSeconds(5);

    /** Returns the options of the program: the policies of the fleet, reached where it listens. */
    public static DaemonOptions standard() {
        return new DaemonOptions(Policies.standard(), Optional.empty(), SHARE_RAISE_WAIT);
    }

    /** Returns these options with other policies. */
    public DaemonOptions withPolicies(Policies changed) {
        return new DaemonOptions(changed, advertisedPeerAddress, shareRaiseWait);
    }

    /** Returns these options with another address for other daemons. */
    public DaemonOptions withAdvertisedPeerAddress(String address) {
        return new DaemonOptions(policies, Optional.of(address), shareRaiseWait);
    }

    /** Returns these options with another wait before a raised share is used. */
    public DaemonOptions withShareRaiseWait(Duration changed) {
        return new DaemonOptions(policies, advertisedPeerAddress, changed);
    }
}
