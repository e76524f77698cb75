package org.lavenderwick.daemon.session;

import java.util.List;
import java.util.Map;

import com.google.common.collect.ImmutableMap;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.ratelimit.PartId;
import org.lavenderwick.core.ratelimit.Tenure;

/**
 * Who grants permits, according to the entries in the store.
 *
 * @param holders the daemon that holds each part
 * @param tenures the times in which this daemon may grant for the parts that it holds
 */
public record GrantorView(Map<PartId, DaemonName> holders, Map<PartId, List<Tenure>> tenures) {

    /** Copies the maps. */
    public GrantorView {
        holders = ImmutableMap.copyOf(holders);
        tenures = ImmutableMap.copyOf(tenures);
    }
}
