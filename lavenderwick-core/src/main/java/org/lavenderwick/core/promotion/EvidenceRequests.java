package org.lavenderwick.core.promotion;

import java.util.Set;

import com.google.common.collect.ImmutableSet;
import org.lavenderwick.core.model.EndpointName;

/**
 * The requests to send in order to obtain or renew the evidence for a term.
 *
 * @param platform whether to read the group record from the platform
 * @param endpoints endpoints to query for their promised term
 */
public record EvidenceRequests(boolean platform, Set<EndpointName> endpoints) {

    /** No requests. */
    public static final EvidenceRequests NONE = new EvidenceRequests(false, ImmutableSet.of());

    /** Makes an immutable copy of {@code endpoints}. */
    public EvidenceRequests {
        endpoints = ImmutableSet.copyOf(endpoints);
    }
}
