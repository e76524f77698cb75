package org.lavenderwick.daemon.group;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.lavenderwick.core.configuration.EndpointSettings;
import org.lavenderwick.core.configuration.GroupSettings;
import org.lavenderwick.core.connections.ConnectionPoolState;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.promotion.PromotionTimings;

/** Keeps the targets of a group in step with its settings. Confined to the event loop of the group. */
final class EndpointTargetManager {
    private final GroupEnvironment environment;
    private final GroupContext context;
    private final EndpointPoolListener listener;
    private final DelayedIncreaseShares shares;

    EndpointTargetManager(GroupEnvironment environment, GroupContext context, EndpointPoolListener events) {
        this.environment = environment;
        this.context = context;
        this.listener = events;
        this.shares = new DelayedIncreaseShares(environment.shareIncreaseDelay());
    }

    /** Adds, replaces and removes endpoints and sets their connection shares. */
    void applyPlacement(GroupPlacement placement) {
        Set<EndpointName> gone = context.targets().stream()
                .filter(target -> placement
                        .group()
                        .endpoint(target.name())
                        .filter(target.connections().settings()::equals)
                        .isEmpty())
                .map(EndpointTarget::name)
                .collect(Collectors.toSet());
        gone.forEach(name -> {
            context.target(name).ifPresent(target -> target.connections().close());
            context.removeTarget(name);
        });
        for (EndpointSettings endpoint : placement.group().endpoints()) {
            int share = shares.updateShare(placement, endpoint, context.loop().now());
            Optional<EndpointTarget> known = context.target(endpoint.name());
            if (known.isPresent()) {
                known.get().resize(share);
            } else {
                context.addTarget(create(endpoint, share));
            }
        }
        markLeaving(placement);
    }

    /** Closes connections that are not needed, opens those wanted ahead of demand, and looks for planned stops. */
    void maintain(GroupPlacement placement) {
        markLeaving(placement);
        context.targets().forEach(target -> {
            int share = shares.updateShare(
                    placement, target.connections().settings(), context.loop().now());
            if (share != target.connections().poolState().share()) {
                target.resize(share);
            }
            target.connections().closeExpiredIdle();
            target.connections().replenish();
        });
    }

    /** Returns whether this owner may open connections; a new owner first leaves them to the former ones. */
    boolean hasConnectionShare() {
        return context.targets().stream()
                .anyMatch(target -> target.connections().poolState().share() > 0);
    }

    /** Asks an endpoint for its status, which comes back as an event. */
    void requestStatus(EndpointName endpoint) {
        context.target(endpoint)
                .ifPresent(target -> target.connections()
                        .callOnControlConnection(
                                connection -> connection.status(PromotionTimings.DEFAULT.endpointTimeout()),
                                answer -> {}));
    }

    static List<EndpointName> endpointNames(GroupSettings group) {
        return group.endpoints().stream().map(EndpointSettings::name).toList();
    }

    private void markLeaving(GroupPlacement placement) {
        Instant now = environment.wallClock().instant();
        context.targets().forEach(target -> target.setLeaving(placement.isLeaving(target.name(), now)));
    }

    private EndpointTarget create(EndpointSettings endpoint, int share) {
        ConnectionPoolState pool =
                ConnectionPoolState.create(environment.policies().sizing(), share, environment.random());
        EndpointConnectionPool link = new EndpointConnectionPool(
                endpoint,
                environment.endpointPort(),
                environment.connectTimeout(),
                pool,
                context.loop(),
                environment.wallClock(),
                listener);
        int connections = Math.max(1, pool.trafficShare());
        return new EndpointTarget(
                link, environment.policies().limitFactory().apply(endpoint.slots(), connections), context.loop());
    }
}
