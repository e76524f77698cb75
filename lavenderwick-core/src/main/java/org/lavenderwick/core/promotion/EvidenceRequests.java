package org.lavenderwick.core.promotion;

import java.util.Set;

import com.google.common.collect.ImmutableSet;
import org.lavenderwick.core.model.EndpointName;

/**
 * What must be asked to get or renew the evidence for a term.
 *
 * @param platform whether the group record must be read from the platform
 * @param endpoints endpoints whose promised term must be asked
 */
public record EvidenceRequests(boolean platform, Set<EndpointName> endpoints) {

    /** Nothing needs to be asked. */
    public static final EvidenceRequests NONE = new EvidenceRequests(false, ImmutableSet.of());

    /** Copies the set. */
    public EvidenceRequests {
        endpoints = ImmutableSet.copyOf(endpoints);
    }
}
