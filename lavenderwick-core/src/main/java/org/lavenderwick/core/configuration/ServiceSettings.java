package org.lavenderwick.core.configuration;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import org.lavenderwick.core.model.RankName;
import org.lavenderwick.core.model.ServiceName;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * One service that operators offer to callers.
 *
 * @param name the name of the service
 * @param ranks the ranks of work, most urgent first; never empty
 * @param defaultMaxStaleness age of data that a read accepts when the request states none; zero means current data
 */
public record ServiceSettings(ServiceName name, List<RankSettings> ranks, Duration defaultMaxStaleness) {

    /** Copies the list and checks that there is a rank. */
    public ServiceSettings {
        ranks = ImmutableList.copyOf(ranks);
        checkArgument(!ranks.isEmpty(), "service %s has no rank", name);
        checkArgument(!defaultMaxStaleness.isNegative(), "staleness of service %s is negative", name);
    }

    /** Returns the rank with the given name, if the service has it. Linear in the number of ranks. */
    public Optional<RankSettings> rank(RankName rankName) {
        return ranks.stream().filter(rank -> rank.name().equals(rankName)).findFirst();
    }
}
