package org.lavenderwick.adapters.json;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.json.JsonMapper;
import org.junit.jupiter.api.Test;
import org.lavenderwick.core.configuration.Configuration;
import org.lavenderwick.core.configuration.EndpointSettings;
import org.lavenderwick.core.configuration.GroupSettings;
import org.lavenderwick.core.configuration.PlannedStop;
import org.lavenderwick.core.configuration.RankSettings;
import org.lavenderwick.core.configuration.ServiceSettings;
import org.lavenderwick.core.configuration.SessionKey;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.model.RankName;
import org.lavenderwick.core.model.ServiceName;

import static org.assertj.core.api.Assertions.assertThat;

class JsonMappersTest {

    /** Guards against a configuration that changes when daemons pass it on as JSON. */
    @Test
    void configurationSurvivesARoundTrip() throws Exception {
        ServiceName service = ServiceName.of("orders");
        GroupName group = GroupName.of("lids");
        EndpointName endpoint = EndpointName.of("lids-1");
        Configuration configuration = new Configuration(
                7,
                Map.of(
                        service,
                        new ServiceSettings(
                                service,
                                List.of(new RankSettings(RankName.of("urgent"), Duration.ofMillis(50), 10, 0.5)),
                                Duration.ofSeconds(2))),
                Map.of(
                        group,
                        new GroupSettings(
                                group,
                                service,
                                List.of(new EndpointSettings(
                                        endpoint, FailureDomain.of("arq-yura"), "127.0.0.1:9000", 20, 3)))),
                List.of(new PlannedStop(group, endpoint, Instant.EPOCH, Instant.EPOCH.plusSeconds(60))),
                List.of(new SessionKey("k1", "c2VjcmV0")));
        JsonMapper mapper = JsonMappers.create();

        String json = mapper.writeValueAsString(configuration);

        assertThat(mapper.readValue(json, Configuration.class)).isEqualTo(configuration);
        assertThat(json).doesNotContain("majority");
    }
}
