package org.lavenderwick.cli.bench;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.lavenderwick.adapters.endpoint.EndpointStatus;
import org.lavenderwick.core.configuration.GroupSettings;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.standins.EndpointServer;
import org.lavenderwick.standins.StandinFleet;

/** Looks at the endpoints at equal gaps: their connections, and how far their logs and data are. Thread-safe. */
final class ClusterSampler implements Runnable {
    private final StandinFleet fleet;
    private final RunRecord record;
    private final Map<GroupName, TreeMap<Duration, List<ReplicaState>>> replicas =
            new TreeMap<>((left, right) -> left.value().compareTo(right.value()));
    private int mostConnections;

    /**
     * A replica at one moment.
     *
     * @param point how far its log is
     * @param age age of its data
     */
    record ReplicaState(LogPoint point, Duration age) {}

    ClusterSampler(StandinFleet fleet, RunRecord record) {
        this.fleet = fleet;
        this.record = record;
        fleet.configuration().groups().keySet().forEach(group -> replicas.put(group, new TreeMap<>()));
    }

    @Override
    public synchronized void run() {
        Duration at = record.now();
        for (GroupSettings group : fleet.configuration().groups().values()) {
            List<ReplicaState> states = new ArrayList<>();
            group.endpoints().forEach(endpoint -> {
                EndpointStatus status = fleet.endpoint(endpoint.name()).status();
                if (!status.primary()) {
                    states.add(new ReplicaState(status.point(), Duration.between(status.pointTime(), Instant.now())));
                }
            });
            replicas.get(group.name()).put(at, states);
        }
        int connections =
                fleet.endpoints().stream().mapToInt(EndpointServer::connections).sum();
        mostConnections = Math.max(mostConnections, connections);
    }

    /** Returns the largest number of connections at one time, by the endpoints' own count. */
    synchronized int mostConnections() {
        return mostConnections;
    }

    /** Returns the replicas of a group as seen last at the given time. */
    synchronized List<ReplicaState> replicas(GroupName group, Duration at) {
        Map.Entry<Duration, List<ReplicaState>> entry = replicas.get(group).floorEntry(at);
        return entry == null ? List.of() : entry.getValue();
    }
}
