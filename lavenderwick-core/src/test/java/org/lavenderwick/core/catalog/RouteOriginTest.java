package org.lavenderwick.core.catalog;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.lavenderwick.core.account.AccountDirectory;
import org.lavenderwick.core.model.GroupName;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against an owner that is behind and answers for a daemon that knows better. */
class RouteOriginTest {

    private static final GroupName GROUP = GroupName.of("g");
    private static final RouteOrigin ORIGIN = new RouteOrigin(5, GROUP);

    private static Optional<Catalog> catalog(long version, String group) {
        DatabaseRoute route = new DatabaseRoute(
                "orders",
                GroupName.of(group),
                ReadConsistency.PRIMARY,
                Duration.ZERO,
                Duration.ofSeconds(1),
                Duration.ofSeconds(1),
                0,
                false);
        return Optional.of(
                new Catalog(version, Map.of("orders", route), Map.of(), Duration.ofSeconds(1), AccountDirectory.EMPTY));
    }

    @Test
    void ownerWithAnOlderConfigurationDeclinesADatabaseThatItDoesNotKnow() {
        assertThat(ORIGIN.supersedes(catalog(4, "g"), Optional.of("new"))).isTrue();
        assertThat(ORIGIN.supersedes(Optional.empty(), Optional.of("orders"))).isTrue();
    }

    @Test
    void ownerWithAnOlderConfigurationDeclinesADatabaseOfAnotherGroup() {
        assertThat(ORIGIN.supersedes(catalog(4, "old"), Optional.of("orders"))).isTrue();
    }

    @Test
    void ownerWithAnOlderConfigurationServesARouteThatIsTheSame() {
        assertThat(ORIGIN.supersedes(catalog(4, "g"), Optional.of("orders"))).isFalse();
    }

    @Test
    void ownerWithTheSameOrANewerConfigurationAnswersByItself() {
        assertThat(ORIGIN.supersedes(catalog(5, "g"), Optional.of("new"))).isFalse();
        assertThat(ORIGIN.supersedes(catalog(6, "other"), Optional.of("orders")))
                .isFalse();
    }
}
