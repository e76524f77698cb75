package org.lavenderwick.cli.bench;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.lavenderwick.adapters.json.JsonMappers;
import org.lavenderwick.adapters.platform.VersionedValue;
import org.lavenderwick.core.configuration.Configuration;
import org.lavenderwick.core.configuration.PlannedStop;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.standins.EndpointServer;
import org.lavenderwick.standins.PlatformFaults;
import org.lavenderwick.standins.Replication;
import org.lavenderwick.standins.StandinFleet;

/** Brings the faults of the scenarios about. */
final class FaultScript {
    /** Between the ages that the two services with stale reads accept, so that only one of them can use replicas. */
    private static final Duration FAR_BEHIND = Duration.ofSeconds(4);

    private static final Duration STOP_LENGTH = Duration.ofHours(1);
    private static final String CONFIGURATION_KEY = "configuration/current";

    private final StandinFleet fleet;
    private final RunPlan plan;

    FaultScript(StandinFleet fleet, RunPlan plan) {
        this.fleet = fleet;
        this.plan = plan;
    }

    /** Sets what holds in the whole run. */
    void prepare() {
        Duration lag = plan.has(Scenario.LAGGING) ? FAR_BEHIND : plan.replicaLag();
        if (!lag.isZero()) {
            fleet.endpoints().forEach(endpoint -> endpoint.replication(Replication.delayed(lag)));
        }
    }

    /** Begins the faults; returns one sentence for each. */
    List<String> begin() {
        return plan.scenarios().stream()
                .sorted(Comparator.naturalOrder())
                .map(this::begin)
                .toList();
    }

    private String begin(Scenario scenario) {
        return switch (scenario) {
            case FAILOVER -> cutPrimaryOff();
            case LEAVING -> planStop();
            case PLATFORM_DOWN -> {
                fleet.platform().faults(PlatformFaults.NONE.withAvailability(PlatformFaults.Availability.REFUSES));
                yield "The platform refuses connections.";
            }
            case FLOOD_LOW, FLOOD_HIGH ->
                "The flood of group " + plan.deployment().floodGroup() + " begins.";
            case LAGGING -> "All replicas are " + FAR_BEHIND.toSeconds() + " s behind.";
            default -> "Nothing happens.";
        };
    }

    private String cutPrimaryOff() {
        GroupName group = plan.deployment().faultGroup();
        EndpointServer primary = primary(group);
        int own = fleet.block(plan.deployment()
                .group(group)
                .endpoint(primary.name())
                .orElseThrow()
                .failureDomain());
        Set<Integer> others =
                new HashSet<>(StandinFleet.blocks(fleet.configuration()).values());
        others.remove(own);
        primary.silentBlocks(others);
        return "The primary " + primary.name() + " is cut off from the other failure domains.";
    }

    private String planStop() {
        GroupName group = plan.deployment().faultGroup();
        EndpointName primary = primary(group).name();
        Instant now = Instant.now();
        JsonMapper mapper = JsonMappers.create();
        try {
            VersionedValue current = fleet.platform().read(CONFIGURATION_KEY).orElseThrow();
            Configuration old = mapper.readValue(current.value(), Configuration.class);
            Configuration changed = new Configuration(
                    old.version() + 1,
                    old.services(),
                    old.groups(),
                    List.of(new PlannedStop(group, primary, now, now.plus(STOP_LENGTH))),
                    old.sessionKeys());
            fleet.platform()
                    .compareAndSwap(CONFIGURATION_KEY, mapper.writeValueAsString(changed), current.revision())
                    .orElseThrow();
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("the configuration has no JSON form", e);
        }
        return "A planned stop of the primary " + primary + " begins.";
    }

    private EndpointServer primary(GroupName group) {
        return plan.deployment().group(group).endpoints().stream()
                .map(endpoint -> fleet.endpoint(endpoint.name()))
                .filter(endpoint -> endpoint.status().primary())
                .findFirst()
                .orElseThrow();
    }
}
