package org.lavenderwick.core.failover;

import java.time.Duration;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;

import static org.assertj.core.api.Assertions.assertThat;

class TermRecordTest {

    private static final GroupName ORDERS = GroupName.of("orders");
    private static final GroupName LEDGER = GroupName.of("ledger");
    private static final EndpointName FIRST = EndpointName.of("e1");
    private static final EndpointName SECOND = EndpointName.of("e2");

    private static final TermRecord RECORD = new TermRecord(
            7, Set.of(5L), Map.of(ORDERS, GroupTerm.open(FIRST, 3, 0), LEDGER, GroupTerm.open(SECOND, 1, 9)));

    @Nested
    class Text {

        @Test
        void isReadBack() {
            assertThat(TermRecordCodec.decode(TermRecordCodec.encode(RECORD)).get())
                    .isEqualTo(RECORD);
        }

        @ParameterizedTest
        @ValueSource(strings = {"", "lease", "lease x", "lease 1\norders e1", "lease 1\norders e1 2 SHUT 0", "x 1"})
        void isRejectedIfMalformed(String text) {
            assertThat(TermRecordCodec.decode(text).isLeft()).isTrue();
        }
    }

    @Nested
    class LeasesToRevoke {

        @Test
        void includeReplacedLeases() {
            assertThat(RECORD.withLease(8).leasesToRevoke()).containsExactlyInAnyOrder(5L, 7L);
        }

        @Test
        void excludeRevokedLeases() {
            assertThat(RECORD.withoutRevokedLeases(Set.of(5L)).leasesToRevoke()).isEmpty();
        }
    }

    @Nested
    class Evidence {

        private final LeaseEvidence evidence = LeaseEvidence.create();

        @Test
        void startsWithARenewal() {
            evidence.install(RECORD, 10);
            assertThat(evidence.view(ORDERS)).isEmpty();
            evidence.onRenewed(7, Duration.ofMillis(50));
            assertThat(evidence.view(ORDERS)).contains(new ProvenPrimary(FIRST, 3, Duration.ofMillis(50)));
        }

        @Test
        void ignoresRenewalsOfOtherLeases() {
            evidence.install(RECORD, 10);
            evidence.onRenewed(6, Duration.ofMillis(50));
            assertThat(evidence.views()).isEmpty();
        }

        @Test
        void isRemovedOnlyForGroupsWhoseTermIsClosed() {
            evidence.install(RECORD, 10);
            evidence.onRenewed(7, Duration.ofMillis(50));
            TermRecord closing = RECORD.withLease(8)
                    .with(ORDERS, RECORD.group(ORDERS).get().withPhase(TermPhase.CLOSING, FIRST, 11));
            evidence.install(closing, 12);
            assertThat(evidence.view(ORDERS)).isEmpty();
            assertThat(evidence.view(LEDGER)).isPresent();
        }

        @Test
        void ignoresOlderRecords() {
            evidence.install(RECORD, 10);
            evidence.install(RECORD.with(ORDERS, GroupTerm.open(SECOND, 4, 0)), 9);
            evidence.onRenewed(7, Duration.ZERO);
            assertThat(evidence.view(ORDERS).get().primary()).isEqualTo(FIRST);
        }
    }
}
