package org.lavenderwick.core.configuration;

import java.util.List;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.model.ServiceName;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The settings of a database group.
 *
 * @param name the name of the group, unique in the configuration
 * @param service the service to which the group belongs
 * @param endpoints the endpoints of the group; the first one is the primary in term 1
 */
public record GroupSettings(GroupName name, ServiceName service, List<EndpointSettings> endpoints) {

    /** Copies the list, and checks that it is not empty. */
    public GroupSettings {
        endpoints = ImmutableList.copyOf(endpoints);
        checkArgument(!endpoints.isEmpty(), "group %s has no endpoint", name);
    }

    /** Returns the endpoint with the given name, or empty if the group does not contain it. Searches linearly. */
    public Optional<EndpointSettings> endpoint(EndpointName endpointName) {
        return endpoints.stream()
                .filter(endpoint -> endpoint.name().equals(endpointName))
                .findFirst();
    }

    /** Returns the number of endpoints that form a majority of the group. */
    public int majority() {
        return endpoints.size() / 2 + 1;
    }
}
