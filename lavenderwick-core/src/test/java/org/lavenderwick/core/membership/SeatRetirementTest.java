package org.lavenderwick.core.membership;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.lavenderwick.core.model.DaemonName;

import static org.assertj.core.api.Assertions.assertThat;

class SeatRetirementTest {

    private static final Duration START = Duration.ofHours(1);
    private static final SeatId DEAD = SeatId.of(Tables.domain(1), 3);

    private final SeatTable table = Tables.of(2, 4);
    private final Set<DaemonName> live = Set.of(DaemonName.of("1-1"), DaemonName.of("1-2"), DaemonName.of("1-4"));
    private final DeadSeatRemoval retirement =
            DeadSeatRemoval.create(DaemonName.of("1-1"), Tables.domain(1), new Random(3));
    private Duration now = START;

    private List<SeatAction> nextCheck(SeatTable current) {
        retirement.tick(now, current);
        now = now.plus(DeadSeatRemoval.CHECK_INTERVAL);
        return retirement.tick(now, current);
    }

    private SeatTable markDead() {
        assertThat(nextCheck(table)).containsExactly(new SeatAction.ReadTable());
        assertThat(retirement.onRead(now, Optional.of(table), 5, live))
                .contains(new SeatAction.AcquireLease(DEAD, SeatClaim.LEASE_TTL));
        SeatTable marked = table.with(Tables.seat(1, 3).asLeaving(), 2);
        assertThat(retirement.onLease(now, LeaseOutcome.GRANTED)).containsExactly(new SeatAction.WriteTable(marked, 5));
        return marked;
    }

    /** Guards against a removed seat whose holder still uses it: removal waits as a takeover does. */
    @Test
    void removesADeadSeatAfterTheWait() {
        SeatTable marked = markDead();
        assertThat(retirement.onWrite(now, WriteOutcome.WRITTEN))
                .containsExactly(new SeatAction.InstallTable(marked), new SeatAction.NotifyFormerHolder("127.0.1.3:1"));

        Duration waitEnd = now.plus(SeatClaim.SEAT_TAKEOVER_WAIT);
        assertThat(retirement.tick(waitEnd.minusMillis(1), marked)).isEmpty();
        assertThat(retirement.tick(waitEnd, marked)).containsExactly(new SeatAction.ReadTable());
        assertThat(retirement.onRead(waitEnd, Optional.of(marked), 6, live))
                .containsExactly(new SeatAction.WriteTable(marked.without(DEAD, 3), 6));
        assertThat(retirement.onWrite(waitEnd, WriteOutcome.WRITTEN)).contains(new SeatAction.ReleaseLease(DEAD));
    }

    /** Guards against the removal of a seat that another daemon took over during the wait. */
    @Test
    void leavesASeatThatWasTakenOver() {
        SeatTable marked = markDead();
        retirement.onWrite(now, WriteOutcome.WRITTEN);
        Duration waitEnd = now.plus(SeatClaim.SEAT_TAKEOVER_WAIT);
        retirement.tick(waitEnd, marked);
        SeatTable taken = marked.with(new Seat(3, Tables.domain(1), DaemonName.of("1-4"), 2, "127.0.1.4:1", false), 3);

        assertThat(retirement.onRead(waitEnd, Optional.of(taken), 7, live))
                .containsExactly(new SeatAction.InstallTable(taken), new SeatAction.ReleaseLease(DEAD));
    }

    /** Guards against the removal of a daemon that is alive but missing from the lagging host list. */
    @Test
    void leavesASeatWhoseLeaseRuns() {
        nextCheck(table);
        retirement.onRead(now, Optional.of(table), 5, live);

        assertThat(retirement.onLease(now, LeaseOutcome.REFUSED)).isEmpty();
        assertThat(retirement.tick(now.plusSeconds(1), table)).isEmpty();
    }

    /** Guards against a lease that stays taken when another writer was first. */
    @Test
    void givesUpOnAConflict() {
        markDead();

        assertThat(retirement.onWrite(now, WriteOutcome.CONFLICT)).containsExactly(new SeatAction.ReleaseLease(DEAD));
    }

    /** Guards against hundreds of daemons that read the table and the host list every 30 s. */
    @Test
    void onlyWatchersCheck() {
        DeadSeatRemoval other = DeadSeatRemoval.create(DaemonName.of("1-3"), Tables.domain(1), new Random(3));
        other.tick(now, table);

        assertThat(other.tick(now.plus(Duration.ofMinutes(10)), table)).isEmpty();
    }
}
