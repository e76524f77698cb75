package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Daemons keep every configuration of the last 1,000 changes in memory and end when it is full. */
public final class ConfigHistory {

    private static final int ROUTES = Integer.parseInt(System.getenv().getOrDefault("ROUTES", "3500"));

    /** A storm: a change each 80 ms for 2.0 s, and then a pause. */
    private static final int STORM_CHANGES = 25;

    private static final long GAP_MS = 80;
    private static final long PAUSE_MS = 1500;
    private static final long CHANGES_MS = 90_000;

    private ConfigHistory() {}

    public static void main(String[] arguments) throws IOException {
        Lab.main(arguments, ConfigHistory::run);
    }

    private static int run(Lab lab) throws Exception {
        Store store = new Store();
        Group group = new Group(lab, store, "db", 3, 0, 1000);
        String[] routes = new String[ROUTES + 2];
        for (int index = 0; index < ROUTES; index++) {
            routes[index] = "base" + index + " bounded 2000";
        }
        routes[ROUTES] = "orders primary 1000";
        routes[ROUTES + 1] = "stock read_your_writes 1000";
        int version = 1;
        group.configure(version, routes);
        lab.log("the configuration has %d bytes", store.text("op/config").length());
        List<Lab.Daemon> daemons = new ArrayList<>();
        for (int index = 1; index <= 3; index++) {
            Lab.Daemon daemon = lab.daemon("d" + index, "z" + index, store.address(), group.cloudAddress(), List.of());
            daemons.add(daemon);
            daemon.start();
        }
        for (Lab.Daemon daemon : daemons) {
            daemon.awaitReady(20_000);
        }
        Traffic traffic = new Traffic(lab, daemons);
        for (int index = 0; index < 3; index++) {
            traffic.start(index, "orders", "WRITE item# value#", 200, 2000);
            traffic.start(index, "stock", "READ item2", 200, 2000);
        }
        Lab.sleep(4000);
        int[] ends = new int[daemons.size()];
        long end = lab.now() + CHANGES_MS;
        while (lab.now() < end && Arrays.stream(ends).anyMatch(count -> count < 3)) {
            boolean stormEnds = lab.trouble && version % STORM_CHANGES == 0;
            long next = lab.now() + (stormEnds ? PAUSE_MS : GAP_MS);
            if (lab.trouble) {
                // One route gets another timeout.
                routes[0] = "base0 bounded " + (2000 + version % 2 * 500);
                group.configure(++version, routes);
            }
            for (int index = 0; index < ends.length; index++) {
                Lab.Daemon daemon = daemons.get(index);
                if (!daemon.isAlive()) {
                    ends[index]++;
                    lab.log("%s ended by itself with status %d; version %d", daemon.name, daemon.exitStatus(), version);
                    daemon.start();
                }
            }
            lab.sleepUntil(next);
        }
        lab.log("%d changes of the configuration in storms of %d", version - 1, STORM_CHANGES);
        traffic.stop();
        lab.recordLogs("OutOfMemory", "[daemon]");
        lab.log("ends by themselves: %s", Arrays.toString(ends));
        return Arrays.stream(ends).filter(count -> count >= 3).count() >= 2 ? Lab.BROKEN : Lab.HELD;
    }
}
