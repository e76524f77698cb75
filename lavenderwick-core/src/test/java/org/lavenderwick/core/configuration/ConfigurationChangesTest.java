package org.lavenderwick.core.configuration;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.model.RankName;
import org.lavenderwick.core.model.ServiceName;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class ConfigurationChangesTest {

    /** Returns a random configuration. Its names are from small sets, so that two configurations share many names. */
    static Configuration random(long version, Random random) {
        Map<ServiceName, ServiceSettings> services = new HashMap<>();
        Map<GroupName, GroupSettings> groups = new HashMap<>();
        List<PlannedStop> stops = new ArrayList<>();
        for (int service = 0; service < random.nextInt(5); service++) {
            ServiceName name = ServiceName.of("s" + random.nextInt(5));
            RankSettings rank = new RankSettings(
                    RankName.of("r"), Duration.ofMillis(1 + random.nextInt(2)), 1 + random.nextInt(2), 0.5);
            services.put(name, new ServiceSettings(name, List.of(rank), Duration.ZERO));
            for (int group = 0; group < random.nextInt(4); group++) {
                GroupName groupName = GroupName.of("g" + random.nextInt(8));
                EndpointName endpoint = EndpointName.of("e" + random.nextInt(2));
                EndpointSettings settings =
                        new EndpointSettings(endpoint, FailureDomain.of("d"), "127.0.1.1:1", 1 + random.nextInt(2), 1);
                groups.put(groupName, new GroupSettings(groupName, name, List.of(settings)));
                if (random.nextBoolean()) {
                    stops.add(new PlannedStop(groupName, endpoint, Instant.EPOCH, Instant.EPOCH.plusSeconds(1)));
                }
            }
        }
        return new Configuration(
                version, services, groups, stops, List.of(new SessionKey("k" + random.nextInt(2), "c2VjcmV0")));
    }

    /** Guards against a peer that receives changes and ends up with a different configuration than the sender. */
    @Property(seed = "21", tries = 1000)
    void applyingTheChangesGivesTheLaterVersion(@ForAll long seed) {
        Random random = new Random(seed);
        Configuration from = random(1 + random.nextInt(5), random);
        Configuration to = random(from.version() + 1 + random.nextInt(5), random);

        assertThat(ConfigurationChanges.between(from, to).applyTo(from)).isEqualTo(to);
    }

    @Nested
    class Changes {

        /** Guards against applying changes to the wrong base version. */
        @Test
        void applyOnlyToTheirBaseVersion() {
            Configuration first = random(1, new Random(1));
            ConfigurationChanges changes = ConfigurationChanges.between(first, random(2, new Random(2)));

            assertThatThrownBy(() -> changes.applyTo(random(3, new Random(1))))
                    .isInstanceOf(IllegalArgumentException.class);
        }

        /** Guards against changes that include unmodified services and groups. */
        @Test
        void omitUnmodifiedServicesAndGroups() {
            Configuration first = random(1, new Random(5));
            Configuration same =
                    new Configuration(2, first.services(), first.groups(), first.plannedStops(), first.sessionKeys());
            ConfigurationChanges changes = ConfigurationChanges.between(first, same);

            assertThat(first.groups()).isNotEmpty();
            assertThat(changes.upsertedGroups()).isEmpty();
            assertThat(changes.upsertedServices()).isEmpty();
        }
    }

    @Nested
    class Holder {

        private final ConfigurationHolder holder = ConfigurationHolder.create();

        /** Guards against replacing the configuration with an older version (guarantee P9). */
        @Test
        void rejectsConfigurationsThatAreNotNewer() {
            Configuration newer = random(7, new Random(1));
            assertThat(holder.require().getLeft().kind()).isEqualTo(ErrorKind.NOT_CONFIGURED);
            assertThat(holder.install(newer)).isTrue();

            assertThat(holder.install(random(6, new Random(2)))).isFalse();
            assertThat(holder.install(random(7, new Random(3)))).isFalse();
            assertThat(holder.current()).containsSame(newer);
            assertThat(holder.version()).isEqualTo(7);
        }
    }

    @Nested
    class History {

        private final ConfigurationHistory history = ConfigurationHistory.create();

        /** Guards against unbounded memory use, and against changes from a version that is not in the history. */
        @Test
        void keepsOnlyTheLatestVersions() {
            for (int version = 1; version <= 100; version++) {
                history.add(random(version, new Random(version)));
            }

            assertThat(history.size()).isEqualTo(ConfigurationHistory.CAPACITY);
            assertThat(history.changesSince(36)).isEmpty();
            assertThat(history.changesSince(37).orElseThrow().toVersion()).isEqualTo(100);
            assertThat(history.changesSince(100)).isEmpty();
            assertThat(history.changesSince(101)).isEmpty();
            assertThat(ConfigurationHistory.create().changesSince(0)).isEmpty();
        }

        /** Guards against a copy of all settings in memory for each of the 64 versions. */
        @Test
        void sharesUnchangedObjectsBetweenVersions() {
            Configuration first = history.add(random(1, new Random(5)));
            Configuration equal = history.add(new Configuration(
                    2, random(1, new Random(5)).services(), first.groups(), List.of(), first.sessionKeys()));

            assertThat(equal.services()).isNotEmpty();
            equal.services()
                    .forEach((name, service) ->
                            assertThat(service).isSameAs(first.services().get(name)));
        }
    }
}
