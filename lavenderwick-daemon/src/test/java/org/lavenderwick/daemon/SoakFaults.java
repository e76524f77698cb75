package org.lavenderwick.daemon;

import java.util.List;
import java.util.Random;

import org.lavenderwick.platform.standin.EndpointStandin;
import org.lavenderwick.platform.standin.StoreStandin;

/** Injects random temporary faults into endpoints, the store and daemons. */
final class SoakFaults {

    private static final int LONGEST_MILLIS = 1500;

    /** Upper bound of the pause after a fault; the next fault may hit a fleet that has only partly recovered. */
    private static final int LONGEST_PAUSE_MILLIS = 700;

    private static final int SPOILT_ANSWERS = 30;

    private static final int SPOIL_PAUSE_MILLIS = 20;

    private static final List<String> ANSWERS = List.of("BUSY", "FAILED", "LAGGING", "lose", "cut");

    private interface Step {
        void run() throws Exception;
    }

    private final SessionFleet fleet;
    private final Random random;

    SoakFaults(SessionFleet fleet, Random random) {
        this.fleet = fleet;
        this.random = random;
    }

    /** Injects one random fault, waits until it is over, and returns its kind and endpoint. */
    String playOne() throws Exception {
        EndpointStandin endpoint =
                fleet.database().endpoint(SessionFleet.GROUP + "-" + (1 + random.nextInt(SessionFleet.ENDPOINTS)));
        int kind = random.nextInt(11);
        switch (kind) {
            case 0 -> spoilAnswers(endpoint);
            case 1 -> play(endpoint::reset);
            case 2 -> play(() -> endpoint.silent(true), () -> endpoint.silent(false));
            case 3 -> play(() -> endpoint.deaf(true), () -> endpoint.deaf(false));
            case 4 -> play(endpoint::kill, endpoint::restart);
            case 5 -> play(() -> fleet.store().down(true), () -> fleet.store().down(false));
            case 6 ->
                play(
                        () -> fleet.store().losingAnswers(true),
                        () -> fleet.store().losingAnswers(false));
            case 7 ->
                play(() -> fleet.store().deafWatches(true), () -> fleet.store().deafWatches(false));
            case 9 -> refuseOne();
            case 8 -> play(() -> fleet.store().revokeLeases());
            default -> play(() -> fleet.killOne(random), () -> fleet.startDaemon());
        }
        fleet.database().demoteFormerPrimaries();
        Thread.sleep(random.nextInt(LONGEST_PAUSE_MILLIS));
        return kind + "/" + endpoint.id();
    }

    private void refuseOne() throws Exception {
        StoreStandin.Door door = fleet.any(random).storeDoor();
        play(() -> door.refuse(true), () -> door.refuse(false));
    }

    /** Replaces, drops or cuts several responses of an endpoint, one after the other. */
    private void spoilAnswers(EndpointStandin endpoint) throws InterruptedException {
        for (int count = 0; count < SPOILT_ANSWERS; count++) {
            endpoint.nextAnswer(ANSWERS.get(random.nextInt(ANSWERS.size())));
            Thread.sleep(SPOIL_PAUSE_MILLIS);
        }
    }

    private void play(Step begin) throws Exception {
        begin.run();
    }

    private void play(Step begin, Step end) throws Exception {
        begin.run();
        Thread.sleep(random.nextInt(LONGEST_MILLIS));
        end.run();
    }
}
