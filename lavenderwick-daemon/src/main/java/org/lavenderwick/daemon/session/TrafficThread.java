package org.lavenderwick.daemon.session;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;

import org.lavenderwick.core.failover.LeaseConfirmation;
import org.lavenderwick.core.failover.ProvenPrimary;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.propagation.ContentStatus;
import org.lavenderwick.core.store.StoreChanges;

/** The calls that other threads may make to the traffic thread. All methods may be called from any thread. */
public interface TrafficThread {

    /** Replaces the snapshot of the fleet that the traffic thread works with. Takes effect asynchronously. */
    void applySnapshot(FleetSnapshot snapshot);

    /**
     * Sends changes read from the store to the daemons that subscribe to this daemon's feed. Takes effect
     * asynchronously.
     *
     * @param complete whether the changes hold the whole content of the store, replacing what was known before
     * @param currentAt monotonic time at which the store was last known to have no later changes
     */
    void publishStoreChanges(boolean complete, StoreChanges changes, Duration currentAt);

    /**
     * Tells the feed that the store had no changes later than those published until the given monotonic time. Takes
     * effect asynchronously.
     */
    void onStoreContentCurrent(Duration currentAt);

    /** Sets the receiver of the feeds that other daemons offer to this one, by their addresses. */
    void receiveOffersWith(Consumer<InetSocketAddress> receiver);

    /** Sets the source of the status of the store content that the snapshots are made from. */
    void describeContentWith(Supplier<ContentStatus> source);

    /**
     * Sets the source of the confirmations that other daemons request from this one. The source gets a check of whether
     * the host was suspended, which returns the time until which all evidence is discarded.
     */
    void confirmLeasesWith(Function<Supplier<Duration>, Optional<LeaseConfirmation>> source);

    /** Replaces the view of who grants permits. Takes effect asynchronously. */
    void applyGrantors(GrantorView view);

    /** Returns the endpoints that do not respond to this daemon. */
    Set<EndpointName> unresponsiveEndpoints();

    /** Returns the primary of each group that status reports of all its endpoints prove, regardless of their age. */
    Map<GroupName, ProvenPrimary> primariesProvenByEndpoints();

    /**
     * Returns the primary of each group that the newest status reports of all its endpoints agree on. Unlike {@link
     * #primariesProvenByEndpoints}, this also counts reports on connections that are too young for evidence.
     */
    Map<GroupName, ProvenPrimary> primariesReportedByEndpoints();

    /** Returns whether any statement is queued or running, including those of groups that this daemon does not own. */
    boolean isBusy();
}
