package org.lavenderwick.daemon.fleet;

import java.time.Duration;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.lavenderwick.core.store.StoreWrite;
import org.lavenderwick.platform.StoreClient;
import org.lavenderwick.platform.standin.StoreStandin;

import static org.assertj.core.api.Assertions.assertThat;

class LeasedEntryTest {

    private static final Duration STEP = Duration.ofMillis(100);

    @Test
    void limitsCallsToAFailingStore() throws Exception {
        try (StoreStandin store = StoreStandin.start()) {
            LeasedEntry entry = new LeasedEntry(
                    StoreClient.create(store::address, Duration.ofSeconds(1)),
                    "hosts/d1",
                    Duration.ofSeconds(6),
                    new Random(1));
            store.down(true);
            Duration now = Duration.ofSeconds(100);
            for (int step = 0; step < 100; step++) {
                entry.maintain("value", StoreWrite.ABSENT, now);
                now = now.plus(STEP);
            }
            assertThat(store.calls()).isLessThan(30);
            store.down(false);
            for (int step = 0; step < 25; step++) {
                entry.maintain("value", StoreWrite.ABSENT, now);
                now = now.plus(STEP);
            }
            assertThat(store.text("lavenderwick/hosts/d1")).isEqualTo("value");
        }
    }
}
