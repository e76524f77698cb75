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
final class TargetSet {
    private final GroupEnvironment environment;
    private final GroupContext context;
    private final LinkEvents events;
    private final ShareGuards shares;

    TargetSet(GroupEnvironment environment, GroupContext context, LinkEvents events) {
        this.environment = environment;
        this.context = context;
        this.events = events;
        this.shares = new ShareGuards(environment.shareIncreaseDelay());
    }

    /** Adds, replaces and removes endpoints and sets their connection shares. */
    void apply(GroupPlacement placement) {
        Set<EndpointName> gone = context.targets().stream()
                .filter(target -> placement
                        .group()
                        .endpoint(target.name())
                        .filter(target.link().settings()::equals)
                        .isEmpty())
                .map(Target::name)
                .collect(Collectors.toSet());
        gone.forEach(name -> {
            context.target(name).ifPresent(target -> target.link().close());
            context.removeTarget(name);
        });
        for (EndpointSettings endpoint : placement.group().endpoints()) {
            int share = shares.share(placement, endpoint, context.loop().now());
            Optional<Target> known = context.target(endpoint.name());
            if (known.isPresent()) {
                known.get().resize(share);
            } else {
                context.addTarget(create(endpoint, share));
            }
        }
        markLeaving(placement);
    }

    /** Closes connections that are not needed, opens those wanted ahead of demand, and looks for planned stops. */
    void upkeep(GroupPlacement placement) {
        markLeaving(placement);
        context.targets().forEach(target -> {
            int share = shares.share(
                    placement, target.link().settings(), context.loop().now());
            if (share != target.link().pool().share()) {
                target.resize(share);
            }
            target.link().shrink();
            target.link().replenish();
        });
    }

    /** Returns whether this owner may open connections; a new owner first leaves them to the former ones. */
    boolean usable() {
        return context.targets().stream()
                .anyMatch(target -> target.link().pool().share() > 0);
    }

    /** Asks an endpoint for its status, which comes back as an event. */
    void askStatus(EndpointName endpoint) {
        context.target(endpoint)
                .ifPresent(target -> target.link()
                        .control(
                                connection -> connection.status(PromotionTimings.DEFAULT.endpointTimeout()),
                                answer -> {}));
    }

    static List<EndpointName> names(GroupSettings group) {
        return group.endpoints().stream().map(EndpointSettings::name).toList();
    }

    private void markLeaving(GroupPlacement placement) {
        Instant now = environment.wallClock().instant();
        context.targets().forEach(target -> target.leaving(placement.leaving(target.name(), now)));
    }

    private Target create(EndpointSettings endpoint, int share) {
        ConnectionPoolState pool =
                ConnectionPoolState.create(environment.policies().sizing(), share, environment.random());
        EndpointLink link = new EndpointLink(
                endpoint,
                environment.endpointPort(),
                environment.connectTimeout(),
                pool,
                context.loop(),
                environment.wallClock(),
                events);
        int connections = Math.max(1, pool.trafficShare());
        return new Target(
                link, environment.policies().limitFactory().apply(endpoint.slots(), connections), context.loop());
    }
}
