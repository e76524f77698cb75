package org.lavenderwick.core.membership;

import java.time.Duration;
import java.util.Optional;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lavenderwick.core.model.FailureDomain;

import static org.assertj.core.api.Assertions.assertThat;

class SeatClaimTest {

    private final SeatFleet fleet = new SeatFleet(4);

    private static Optional<SeatId> used(SeatFleet.Process process) {
        return process.claim.usableSeat().map(Seat::id);
    }

    private static SeatId seat(String domain, int number) {
        return SeatId.of(FailureDomain.of(domain), number);
    }

    @Nested
    class Claiming {

        /** Guards against a daemon that waits although its seat never had another holder. */
        @Test
        void usesANewSeatAtOnce() {
            SeatFleet.Process first = fleet.start("a", "yura");
            fleet.run(1);

            assertThat(used(first)).contains(seat("yura", 1));
            assertThat(fleet.platformTable.version()).isEqualTo(1);
        }

        /** Guards against two daemons that read the same table and both believe they got its next seat. */
        @Test
        void racingDaemonsGetDifferentSeats() {
            SeatFleet.Process first = fleet.start("a", "yura");
            SeatFleet.Process second = fleet.start("b", "yura");
            SeatFleet.Process third = fleet.start("c", "cayma");
            fleet.run(60);

            assertThat(used(first)).isPresent();
            assertThat(used(second)).isPresent().isNotEqualTo(used(first));
            assertThat(used(third)).contains(seat("cayma", 1));
        }

        /** Guards against a stampede of platform calls when a whole failure domain starts at once. */
        @Test
        void aFailureDomainThatStartsAtOnceMakesFewCalls() {
            fleet.answersPerStep = 1;
            fleet.step = Duration.ofMillis(20);
            fleet.stepsPerTick = 50;
            for (int number = 0; number < 120; number++) {
                fleet.start("d" + number, "yura");
            }
            fleet.run(50 * 60);

            assertThat(fleet.processes).allMatch(process -> used(process).isPresent());
            assertThat(fleet.calls).isLessThan(120 * 30);
        }

        /** Guards against a second seat when the answer to the write got lost after it took effect. */
        @Test
        void recognisesItsOwnWriteAfterALostAnswer() {
            SeatFleet.Process process = fleet.start("a", "yura");
            process.lossRate = 0.8;
            fleet.run(300);
            process.lossRate = 0;
            fleet.run(60);

            assertThat(fleet.platformTable.seats()).hasSize(1);
            assertThat(used(process)).contains(seat("yura", 1));
        }
    }

    @Nested
    class Takeover {

        private final SeatFleet.Process old = fleet.start("a", "yura");

        Takeover() {
            fleet.run(2);
        }

        /** Guards against a takeover while the holder's lease still runs. */
        @Test
        void leavesASeatWhoseLeaseRuns() {
            old.alive = false;
            old.listed = false;
            SeatFleet.Process next = fleet.start("b", "yura");
            fleet.run(5);

            assertThat(used(next)).contains(seat("yura", 2));
        }

        /** Guards against two users of one seat: the former holder may not have heard of the takeover yet. */
        @Test
        void usesALapsedSeatOnlyAfterTheWait() {
            old.alive = false;
            old.listed = false;
            fleet.run(60);
            SeatFleet.Process next = fleet.start("b", "yura");
            fleet.run(1);

            assertThat(next.claim.phase()).isEqualTo(SeatPhase.WAITING);
            assertThat(next.performed).contains(new SeatAction.NotifyFormerHolder("127.0.1.1:1"));
            fleet.run((int) SeatClaim.SEAT_TAKEOVER_WAIT.toSeconds() - 1);
            assertThat(used(next)).isEmpty();
            fleet.run(1);
            assertThat(used(next)).contains(seat("yura", 1));
        }

        /** Guards against a seat that moves to another failure domain, where its holder may still be alive. */
        @Test
        void neverTakesASeatOfAnotherFailureDomain() {
            old.alive = false;
            old.listed = false;
            fleet.run(60);
            SeatFleet.Process next = fleet.start("b", "cayma");
            fleet.run(30);

            assertThat(used(next)).contains(seat("cayma", 1));
            assertThat(fleet.platformTable.seat(seat("yura", 1)).orElseThrow().daemon())
                    .isEqualTo(old.name);
        }

        /** Guards against the loss of seats of live daemons when all leases lapse during an outage of the platform. */
        @Test
        void leavesALapsedSeatOfAListedDaemon() {
            old.connected = false;
            fleet.run(60);
            SeatFleet.Process next = fleet.start("b", "yura");
            fleet.run(20);

            assertThat(used(next)).contains(seat("yura", 2));
            assertThat(used(old)).contains(seat("yura", 1));
        }

        /** Guards against a former holder that goes on after a newer table gave its seat away. */
        @Test
        void formerHolderStopsWhenANewerTableArrives() {
            old.connected = false;
            old.listed = false;
            fleet.run(60);
            SeatFleet.Process next = fleet.start("b", "yura");
            fleet.run(2);
            assertThat(used(old)).contains(seat("yura", 1));

            fleet.gossip();

            assertThat(used(old)).isEmpty();
            assertThat(next.claim.phase()).isEqualTo(SeatPhase.WAITING);
        }
    }

    @Nested
    class Keeping {

        private final SeatFleet.Process process = fleet.start("a", "yura");
        private final SeatFleet.Process neighbour = fleet.start("b", "yura");

        Keeping() {
            fleet.run(60);
            fleet.gossip();
        }

        /** Guards against a fleet that stops because the platform is down. */
        @Test
        void keepsTheSeatWhileThePlatformIsDown() {
            fleet.platformUp = false;
            fleet.run(7200);
            assertThat(used(process)).isPresent();

            fleet.platformUp = true;
            fleet.run(60);
            assertThat(used(process)).isPresent();
            assertThat(used(neighbour)).isPresent();
        }

        /** Guards against a paused process that uses its seat although the lease may have passed on meanwhile. */
        @Test
        void waitsForConfirmationAfterAPause() {
            fleet.platformUp = false;
            process.pausedUntil = fleet.now.plusSeconds(50);
            fleet.run(51);
            assertThat(used(process)).isEmpty();

            process.perform(process.claim.onPeerInSameDomain(fleet.now, neighbour.table.version()));
            assertThat(used(process)).isPresent();
        }

        /** Guards against a lone daemon that never serves again after a pause while the platform is down. */
        @Test
        void aLoneHolderResumesAfterThePauseAndTheTakeoverWait() {
            SeatFleet.Process lone = fleet.start("c", "cayma");
            fleet.run(60);
            fleet.platformUp = false;
            lone.pausedUntil = fleet.now.plusSeconds(50);
            fleet.run(55);
            assertThat(used(lone)).isEmpty();

            fleet.run(60);
            assertThat(used(lone)).contains(seat("cayma", 1));
        }

        /** Guards against a shutdown that leaves its seat or lease behind. */
        @Test
        void marksAndFreesTheSeat() {
            SeatId own = used(process).orElseThrow();
            process.perform(process.claim.leave(fleet.now));
            fleet.run(3);
            assertThat(fleet.platformTable.seat(own).orElseThrow().leaving()).isTrue();
            assertThat(used(process)).contains(own);

            process.perform(process.claim.release(fleet.now));
            fleet.run(3);
            assertThat(process.claim.phase()).isEqualTo(SeatPhase.FREED);
            assertThat(fleet.platformTable.seat(own)).isEmpty();
            assertThat(process.performed).contains(new SeatAction.ReleaseLease(own));
        }
    }

    /** Guards against two running processes that use one seat under any mix of pauses, deaths and lost answers. */
    @Property(seed = "20261204", tries = 150)
    void noSeatIsUsedTwice(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        SeatFleet random = new SeatFleet(seed);
        int started = 0;
        for (int second = 0; second < 900; second++) {
            if (started < 12 && random.random.nextInt(20) == 0) {
                random.start("d" + started++, random.random.nextBoolean() ? "yura" : "cayma");
            }
            for (SeatFleet.Process process : random.processes) {
                disturb(random, process);
            }
            random.run(1);
            // A pause of up to 5 s counts as none, so 4 s between exchanges is what the takeover wait allows for.
            if (second % 4 == 0 || random.random.nextInt(4) == 0) {
                random.gossip();
            }
            assertThat(random.seatsUsedTwice()).isEmpty();
        }
        assertThat(random.processes.stream().filter(process -> used(process).isPresent()))
                .isNotEmpty();
    }

    private static void disturb(SeatFleet fleet, SeatFleet.Process process) {
        int dice = fleet.random.nextInt(2000);
        if (dice < 4) {
            process.pausedUntil = fleet.now.plusSeconds(1 + fleet.random.nextInt(100));
        } else if (dice < 10) {
            process.connected = !process.connected;
        } else if (dice < 16) {
            process.listed = !process.listed;
        } else if (dice < 17) {
            process.alive = false;
        } else if (dice < 22) {
            process.lossRate = fleet.random.nextInt(3) * 0.3;
        }
    }
}
