package org.lavenderwick.core.membership;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.lavenderwick.core.model.DaemonName;

import static org.assertj.core.api.Assertions.assertThat;

class DeadSeatRemovalTest {

    private static final Duration START = Duration.ofHours(1);
    private static final SeatId DEAD_SEAT = SeatId.of(SeatTableFixtures.domain(1), 3);

    private final SeatTable table = SeatTableFixtures.of(2, 4);
    private final Set<DaemonName> live = Set.of(DaemonName.of("1-1"), DaemonName.of("1-2"), DaemonName.of("1-4"));
    private final DeadSeatRemoval removal =
            DeadSeatRemoval.create(DaemonName.of("1-1"), SeatTableFixtures.domain(1), new Random(3));
    private Duration now = START;

    private List<SeatAction> nextCheck(SeatTable current) {
        removal.tick(now, current);
        now = now.plus(DeadSeatRemoval.CHECK_INTERVAL);
        return removal.tick(now, current);
    }

    private SeatTable markDead() {
        assertThat(nextCheck(table)).containsExactly(new SeatAction.ReadTable());
        assertThat(removal.onRead(now, Optional.of(table), 5, live))
                .contains(new SeatAction.AcquireLease(DEAD_SEAT, SeatClaim.LEASE_TTL));
        SeatTable marked = table.with(SeatTableFixtures.seat(1, 3).asLeaving(), 2);
        assertThat(removal.onLease(now, LeaseOutcome.GRANTED)).containsExactly(new SeatAction.WriteTable(marked, 5));
        return marked;
    }

    /** Guards against the removal of a seat while its holder may still use it. */
    @Test
    void removesADeadSeatAfterTheWait() {
        SeatTable marked = markDead();
        assertThat(removal.onWrite(now, WriteOutcome.WRITTEN))
                .containsExactly(new SeatAction.InstallTable(marked), new SeatAction.NotifyFormerHolder("127.0.1.3:1"));

        Duration waitEnd = now.plus(SeatClaim.SEAT_TAKEOVER_WAIT);
        assertThat(removal.tick(waitEnd.minusMillis(1), marked)).isEmpty();
        assertThat(removal.tick(waitEnd, marked)).containsExactly(new SeatAction.ReadTable());
        assertThat(removal.onRead(waitEnd, Optional.of(marked), 6, live))
                .containsExactly(new SeatAction.WriteTable(marked.without(DEAD_SEAT, 3), 6));
        assertThat(removal.onWrite(waitEnd, WriteOutcome.WRITTEN)).contains(new SeatAction.ReleaseLease(DEAD_SEAT));
    }

    /** Guards against the removal of a seat that another daemon takes over during the wait. */
    @Test
    void keepsASeatThatWasTakenOver() {
        SeatTable marked = markDead();
        removal.onWrite(now, WriteOutcome.WRITTEN);
        Duration waitEnd = now.plus(SeatClaim.SEAT_TAKEOVER_WAIT);
        removal.tick(waitEnd, marked);
        SeatTable taken =
                marked.with(new Seat(3, SeatTableFixtures.domain(1), DaemonName.of("1-4"), 2, "127.0.1.4:1", false), 3);

        assertThat(removal.onRead(waitEnd, Optional.of(taken), 7, live))
                .containsExactly(new SeatAction.InstallTable(taken), new SeatAction.ReleaseLease(DEAD_SEAT));
    }

    /** Guards against the removal of a live daemon that is missing from an outdated host list. */
    @Test
    void keepsASeatWhoseLeaseIsHeld() {
        nextCheck(table);
        removal.onRead(now, Optional.of(table), 5, live);

        assertThat(removal.onLease(now, LeaseOutcome.REFUSED)).isEmpty();
        assertThat(removal.tick(now.plusSeconds(1), table)).isEmpty();
    }

    /** Guards against a lease that is not released after a write conflict. */
    @Test
    void releasesTheLeaseAfterAConflict() {
        markDead();

        assertThat(removal.onWrite(now, WriteOutcome.CONFLICT)).containsExactly(new SeatAction.ReleaseLease(DEAD_SEAT));
    }

    /** Guards against hundreds of daemons that each read the seat table and the host list every 30 s. */
    @Test
    void checksOnlyIfTheDaemonIsAWatcher() {
        DeadSeatRemoval other =
                DeadSeatRemoval.create(DaemonName.of("1-3"), SeatTableFixtures.domain(1), new Random(3));
        other.tick(now, table);

        assertThat(other.tick(now.plus(Duration.ofMinutes(10)), table)).isEmpty();
    }
}
