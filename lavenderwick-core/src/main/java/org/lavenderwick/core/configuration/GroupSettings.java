package org.lavenderwick.core.configuration;

import java.util.List;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.model.ServiceName;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * One database group behind a service.
 *
 * @param name the name of the group, unique in the configuration
 * @param service the service it belongs to
 * @param endpoints the endpoints of the group; the first one is the primary of term 1
 */
public record GroupSettings(GroupName name, ServiceName service, List<EndpointSettings> endpoints) {

    /** Copies the list and checks that there is an endpoint. */
    public GroupSettings {
        endpoints = ImmutableList.copyOf(endpoints);
        checkArgument(!endpoints.isEmpty(), "group %s has no endpoint", name);
    }

    /** Returns the endpoint with the given name, if the group has it. Linear in the number of endpoints. */
    public Optional<EndpointSettings> endpoint(EndpointName endpointName) {
        return endpoints.stream()
                .filter(endpoint -> endpoint.name().equals(endpointName))
                .findFirst();
    }

    /** Returns how many endpoints make a majority of the group. */
    public int majority() {
        return endpoints.size() / 2 + 1;
    }
}
