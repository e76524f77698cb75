package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

/** A failover whose recorded candidate is lost never ends once another daemon takes it over. */
public final class StuckTakeover {

    private static final long RECOVER_MS = 12_000;

    private StuckTakeover() {}

    public static void main(String[] arguments) throws IOException {
        Lab.main(arguments, StuckTakeover::run);
    }

    private static int run(Lab lab) throws Exception {
        Store store = new Store();
        Group group = new Group(lab, store, "db", 3, 0, 1000);
        group.configure(1, "orders primary 1000", "kiln bounded 2000", "stock read_your_writes 1000");
        List<Lab.Daemon> daemons = new ArrayList<>();
        for (int index = 1; index <= 3; index++) {
            daemons.add(lab.daemon("d" + index, "z" + index, store.address(), group.cloudAddress(), List.of()));
        }
        for (Lab.Daemon daemon : daemons) {
            daemon.start();
        }
        for (Lab.Daemon daemon : daemons) {
            daemon.awaitReady(20_000);
        }
        Traffic traffic = new Traffic(lab, daemons);
        for (int index = 0; index < 3; index++) {
            traffic.start(index, "orders", "WRITE item# value#", 100, 2000);
            traffic.start(index, "kiln", "READ item1", 100, 6000);
            traffic.start(index, "stock", "READ item2", 50, 2000);
        }
        long t = lab.now() + 10_000;
        CountDownLatch accepted = new CountDownLatch(1);
        AtomicReference<String> candidate = new AtomicReference<>();
        group.onAcceptedPromote(() -> {
            if (accepted.getCount() == 0) {
                return;
            }
            synchronized (group) {
                candidate.set(group.calls.get(group.calls.size() - 1).id());
            }
            if (lab.trouble) {
                // The final fault, right after a confirmation: all processes are killed.
                daemons.forEach(Lab.Daemon::kill);
                lab.log("all daemons are killed");
            }
            accepted.countDown();
        });
        // Planned work: the primary is replaced. The new backend starts first, then the old one drains.
        lab.sleepUntil(t - 2000);
        group.add("db-4", "z1");
        lab.sleepUntil(t);
        group.backend("db-1").drain();
        if (!accepted.await(10, TimeUnit.SECONDS)) {
            lab.log("no promotion was asked for");
            return Lab.CANNOT_RUN;
        }
        long faultAt = lab.now();
        if (lab.trouble) {
            lab.sleepUntil(faultAt + 500);
            if (!"kill".equals(System.getenv("ONLY"))) {
                group.backend(candidate.get()).crash();
                lab.log("%s is lost for good", candidate.get());
            }
            lab.sleepUntil(faultAt + 1000);
            for (Lab.Daemon daemon : daemons) {
                daemon.start();
            }
        }
        for (Lab.Daemon daemon : daemons) {
            daemon.awaitReady(10_000);
        }
        long backAt = lab.now();
        lab.log("all daemons are back");
        // The old primary drains for 7 s and serves on for some more seconds.
        lab.sleepUntil(t + 20_000);
        lab.log("db-1 leaves");
        group.backend("db-1").leave();
        lab.sleepUntil(backAt + RECOVER_MS + 40_000);
        traffic.stop();
        lab.recordLogs("[failover]");
        int[] before = traffic.served(t - 5000, t);
        int[] after = traffic.served(backAt + RECOVER_MS, backAt + RECOVER_MS + 40_000);
        lab.log("served before: %d of %d; sent later than 12 s after the daemons are back: %d of %d",
                before[0], before[1], after[0], after[1]);
        if (before[1] == 0 || after[1] == 0 || before[0] * 4 < before[1]) {
            return Lab.CANNOT_RUN;
        }
        return after[0] * 4 < after[1] ? Lab.BROKEN : Lab.HELD;
    }
}
