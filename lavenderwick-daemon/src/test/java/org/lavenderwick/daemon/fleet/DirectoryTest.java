package org.lavenderwick.daemon.fleet;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lavenderwick.core.catalog.Catalog;
import org.lavenderwick.core.catalog.EndpointEntry;
import org.lavenderwick.core.catalog.EndpointRole;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.store.StoreChange;
import org.lavenderwick.core.store.StoreChanges;
import org.lavenderwick.core.store.StoreEntry;

import static org.assertj.core.api.Assertions.assertThat;

class DirectoryTest {

    private static final Duration START = Duration.ofSeconds(100);

    private final Directory directory = new Directory();

    private static EndpointEntry endpoint(String name) {
        return new EndpointEntry(
                EndpointName.of(name),
                GroupName.of("db"),
                InetSocketAddress.createUnresolved("localhost", 1),
                FailureDomain.of("z"),
                3,
                false,
                EndpointRole.REPLICA);
    }

    private static StoreChange catalog(long version) {
        return new StoreChange.CatalogChanged(new Catalog(version, Map.of(), Map.of(), Duration.ofSeconds(3)));
    }

    @Nested
    class Configuration {

        @Test
        void neverGoesBack() {
            directory.apply(catalog(7), START);
            directory.apply(catalog(6), START);
            assertThat(directory.catalog().get().version()).isEqualTo(7);
        }

        @Test
        void staysWhenAReadingLacksIt() {
            directory.apply(catalog(7), START);
            directory.replace(new StoreChanges(List.of(), List.of(), 9), START);
            assertThat(directory.catalog()).isPresent();
        }
    }

    @Nested
    class Endpoints {

        private final EndpointName name = EndpointName.of("e1");

        @Test
        void stayForAWhileWithoutAnEntry() {
            directory.apply(new StoreChange.EndpointChanged(endpoint("e1")), START);
            directory.apply(new StoreChange.EndpointRemoved(name), START);
            directory.expire(START.plusMillis(2499));
            assertThat(directory.endpoints()).containsKey(name);
            directory.expire(START.plusMillis(2500));
            assertThat(directory.endpoints()).isEmpty();
        }

        @Test
        void stayIfTheirEntryComesBack() {
            directory.apply(new StoreChange.EndpointChanged(endpoint("e1")), START);
            directory.apply(new StoreChange.EndpointRemoved(name), START);
            directory.apply(new StoreChange.EndpointChanged(endpoint("e1")), START.plusSeconds(2));
            directory.expire(START.plusSeconds(60));
            assertThat(directory.endpoints()).containsKey(name);
        }

        @Test
        void thatAReadingLacksAreRemoved() {
            directory.apply(new StoreChange.EndpointChanged(endpoint("e1")), START);
            directory.replace(
                    new StoreChanges(List.of(new StoreChange.EndpointChanged(endpoint("e2"))), List.of("e2"), 9),
                    START);
            directory.expire(START.plusSeconds(3));
            assertThat(directory.endpoints()).containsOnlyKeys(EndpointName.of("e2"));
        }

        @Test
        void withAnEntryThatCannotBeUsedAreRemovedAndTheOthersStay() {
            directory.apply(new StoreChange.EndpointChanged(endpoint("e1")), START);
            directory.apply(new StoreChange.EndpointChanged(endpoint("e2")), START);
            directory.apply(new StoreChange.EndpointUnusable(name, "not JSON"), START);
            directory.expire(START.plusSeconds(3));
            assertThat(directory.endpoints()).containsOnlyKeys(EndpointName.of("e2"));
        }
    }

    @Nested
    class Entries {

        @Test
        void areListedByPrefix() {
            directory.apply(new StoreChange.EntryChanged(new StoreEntry("hosts/a", "x", 1)), START);
            directory.apply(new StoreChange.EntryChanged(new StoreEntry("other", "y", 2)), START);
            assertThat(directory.entriesUnder("hosts/")).containsOnlyKeys("hosts/a");
            directory.apply(new StoreChange.EntryRemoved("hosts/a"), START);
            assertThat(directory.entriesUnder("hosts/")).isEmpty();
        }
    }
}
