package org.lavenderwick.core.configuration;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import org.lavenderwick.core.model.RankName;
import org.lavenderwick.core.model.ServiceName;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The settings of a service that operators offer to callers.
 *
 * @param name the name of the service
 * @param ranks the ranks, highest priority first; never empty
 * @param defaultMaxStaleness maximum staleness for reads whose request specifies none; zero requires current data
 */
public record ServiceSettings(ServiceName name, List<RankSettings> ranks, Duration defaultMaxStaleness) {

    /** Copies the list, and validates the ranks and the staleness. */
    public ServiceSettings {
        ranks = ImmutableList.copyOf(ranks);
        checkArgument(!ranks.isEmpty(), "service %s has no rank", name);
        checkArgument(!defaultMaxStaleness.isNegative(), "default maximum staleness of service %s is negative", name);
    }

    /** Returns the rank with the given name, or empty if the service does not have it. Searches linearly. */
    public Optional<RankSettings> rank(RankName rankName) {
        return ranks.stream().filter(rank -> rank.name().equals(rankName)).findFirst();
    }
}
