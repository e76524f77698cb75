package org.lavenderwick.daemon.fleet;

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
import org.lavenderwick.daemon.session.FleetSnapshot;
import org.lavenderwick.daemon.session.GrantorView;
import org.lavenderwick.daemon.session.TrafficThread;

/** A traffic thread without sessions and subscribers. */
final class IdleTraffic implements TrafficThread {

    @Override
    public void applySnapshot(FleetSnapshot snapshot) {
        // No request is served.
    }

    @Override
    public void publishStoreChanges(boolean complete, StoreChanges changes, Duration currentSince) {
        // No daemon subscribes.
    }

    @Override
    public void onStoreContentCurrent(Duration currentAt) {
        // No daemon subscribes.
    }

    @Override
    public void receiveOffersWith(Consumer<InetSocketAddress> receiver) {
        // No daemon offers its feed.
    }

    @Override
    public void describeContentWith(Supplier<ContentStatus> source) {
        // No caller is denied anything.
    }

    @Override
    public void confirmLeasesWith(Function<Supplier<Duration>, Optional<LeaseConfirmation>> source) {
        // No other daemon asks.
    }

    @Override
    public void applyGrantors(GrantorView view) {
        // No operation is limited.
    }

    @Override
    public Set<EndpointName> unresponsiveEndpoints() {
        return Set.of();
    }

    @Override
    public Map<GroupName, ProvenPrimary> primariesProvenByEndpoints() {
        return Map.of();
    }

    @Override
    public Map<GroupName, ProvenPrimary> primariesReportedByEndpoints() {
        return Map.of();
    }

    @Override
    public boolean isBusy() {
        return false;
    }
}
