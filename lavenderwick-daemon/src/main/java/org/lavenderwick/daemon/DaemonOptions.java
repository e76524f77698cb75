package org.lavenderwick.daemon;

import java.time.Duration;
import java.util.Optional;

import org.lavenderwick.daemon.group.Policies;

/**
 * Options of a daemon that only an embedding program can set; they are not part of the settings.
 *
 * @param policies the policies that the daemon applies to the groups it owns
 * @param advertisedPeerAddress IP address and port at which other daemons reach this one; empty for its own address and
 *     peer port
 * @param shareIncreaseDelay delay after which an owner may use an increased connection share
 */
public record DaemonOptions(Policies policies, Optional<String> advertisedPeerAddress, Duration shareIncreaseDelay) {
    /**
     * Time within which a new seat table reaches every owner that can use the same endpoints. Peers push new documents
     * at once, and 720 peers were reached within 8 rounds, so most of this time is reserve.
     */
    private static final Duration SHARE_INCREASE_DELAY = Duration.ofSeconds(5);

    /** Returns the default options: the standard policies, and no advertised address other than the daemon's own. */
    public static DaemonOptions standard() {
        return new DaemonOptions(Policies.standard(), Optional.empty(), SHARE_INCREASE_DELAY);
    }

    /** Returns a copy of these options with the given policies. */
    public DaemonOptions withPolicies(Policies newPolicies) {
        return new DaemonOptions(newPolicies, advertisedPeerAddress, shareIncreaseDelay);
    }

    /** Returns a copy of these options with the given IP address and port as the advertised peer address. */
    public DaemonOptions withAdvertisedPeerAddress(String address) {
        return new DaemonOptions(policies, Optional.of(address), shareIncreaseDelay);
    }

    /** Returns a copy of these options with the given delay before an increased connection share may be used. */
    public DaemonOptions withShareIncreaseDelay(Duration delay) {
        return new DaemonOptions(policies, advertisedPeerAddress, delay);
    }
}
