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

/** Manager of the targets of a group, which follows the settings of the group. Confined to its event loop. */
final class EndpointTargetManager {
    private final GroupEnvironment environment;
    private final GroupContext context;
    private final EndpointPoolListener listener;
    private final DelayedIncreaseShares shares;

    EndpointTargetManager(GroupEnvironment environment, GroupContext context, EndpointPoolListener listener) {
        this.environment = environment;
        this.context = context;
        this.listener = listener;
        this.shares = new DelayedIncreaseShares(environment.shareIncreaseDelay());
    }

    /** Adds, replaces and removes targets to match the placement, and sets their connection shares. */
    void applyPlacement(GroupPlacement placement) {
        Set<EndpointName> obsolete = context.targets().stream()
                .filter(target -> placement
                        .group()
                        .endpoint(target.name())
                        .filter(target.connections().settings()::equals)
                        .isEmpty())
                .map(EndpointTarget::name)
                .collect(Collectors.toSet());
        obsolete.forEach(name -> {
            context.target(name).ifPresent(target -> target.connections().close());
            context.removeTarget(name);
        });
        for (EndpointSettings endpoint : placement.group().endpoints()) {
            int share = shares.updateShare(placement, endpoint, context.loop().now());
            Optional<EndpointTarget> existing = context.target(endpoint.name());
            if (existing.isPresent()) {
                existing.get().resize(share);
            } else {
                context.addTarget(create(endpoint, share));
            }
        }
        updateLeaving(placement);
    }

    /**
     * Updates planned stops and connection shares, closes connections that exceeded the idle timeout and opens
     * connections ahead of demand. To be called periodically.
     */
    void maintain(GroupPlacement placement) {
        updateLeaving(placement);
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

    /**
     * Returns whether this owner may open connections to any endpoint. A new owner may not until the former owners have
     * had time to give up their shares.
     */
    boolean hasConnectionShare() {
        return context.targets().stream()
                .anyMatch(target -> target.connections().poolState().share() > 0);
    }

    /** Requests the status of an endpoint; the response is passed to the {@link EndpointPoolListener}. */
    void requestStatus(EndpointName endpoint) {
        context.target(endpoint)
                .ifPresent(target -> target.connections()
                        .callOnControlConnection(
                                connection -> connection.status(PromotionTimings.DEFAULT.endpointTimeout()),
                                response -> {}));
    }

    static List<EndpointName> endpointNames(GroupSettings group) {
        return group.endpoints().stream().map(EndpointSettings::name).toList();
    }

    private void updateLeaving(GroupPlacement placement) {
        Instant now = environment.wallClock().instant();
        context.targets().forEach(target -> target.setLeaving(placement.isLeaving(target.name(), now)));
    }

    private EndpointTarget create(EndpointSettings endpoint, int share) {
        ConnectionPoolState poolState =
                ConnectionPoolState.create(environment.policies().sizing(), share, environment.random());
        EndpointConnectionPool connections = new EndpointConnectionPool(
                endpoint,
                environment.endpointPort(),
                environment.connectTimeout(),
                poolState,
                context.loop(),
                environment.wallClock(),
                listener);
        int maxRequests = Math.max(1, poolState.trafficShare());
        return new EndpointTarget(
                connections,
                environment.policies().limitFactory().apply(endpoint.slots(), maxRequests),
                context.loop());
    }
}
