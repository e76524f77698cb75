package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Acknowledged commits of a service with syncReplicas = 1 are lost by a promotion. */
public final class SyncLoss {

    private SyncLoss() {}

    public static void main(String[] arguments) throws IOException {
        Lab.main(arguments, SyncLoss::run);
    }

    private static int run(Lab lab) throws Exception {
        Store store = new Store();
        Group group = new Group(lab, store, "db", 3, 1, 1000);
        group.configure(1, "orders primary 1000");
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
        Map<String, Long> acknowledged = new ConcurrentHashMap<>();
        AtomicBoolean stop = new AtomicBoolean();
        AtomicInteger numbers = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (Lab.Daemon daemon : daemons) {
            Thread client = new Thread(() -> write(lab, daemon, numbers, acknowledged, stop), "client");
            client.setDaemon(true);
            client.start();
            clients.add(client);
        }
        long start = lab.now();
        while (acknowledged.size() < 50) {
            if (lab.now() > start + 15_000) {
                lab.log("no writes are acknowledged before the disruption");
                return Lab.CANNOT_RUN;
            }
            Lab.sleep(50);
        }
        long t = lab.now() + 6000;
        lab.sleepUntil(t);
        if (lab.trouble) {
            // replica_lag with how = "deaf crash": a replica receives nothing for 6.5 s, the primary crashes meanwhile.
            lab.log("db-3 receives nothing from now on");
            synchronized (group) {
                group.backend("db-3").deaf = true;
            }
            lab.sleepUntil(t + 3000);
            group.backend("db-1").crash();
            lab.sleepUntil(t + 3750);
            // srv_crash with how = "dark replica" for 3.05 s.
            group.backend("db-2").darken();
            lab.sleepUntil(t + 6500);
            lab.log("db-3 receives again");
            synchronized (group) {
                group.backend("db-3").deaf = false;
            }
            lab.sleepUntil(t + 6800);
            group.backend("db-2").lighten();
            lab.sleepUntil(t + 10_000);
            group.backend("db-1").restart();
        }
        lab.sleepUntil(t + 18_000);
        stop.set(true);
        for (Thread client : clients) {
            client.join(5000);
        }
        lab.recordLogs("[failover]");
        int status = Lab.HELD;
        synchronized (group) {
            for (Group.Promotion promotion : group.promotions) {
                List<String> lost = new ArrayList<>();
                acknowledged.forEach((value, at) -> {
                    if (at < promotion.at() && !promotion.values().contains(value)) {
                        lost.add(value + " (acknowledged at " + at / 1000.0 + ")");
                    }
                });
                lab.log(
                        "promotion of %s at %.3f: %d acknowledged commits are not in its log: %s",
                        promotion.id(), promotion.at() / 1000.0, lost.size(), lost);
                status = lost.isEmpty() ? status : Lab.BROKEN;
            }
        }
        lab.log("%d writes acknowledged in all", acknowledged.size());
        return status;
    }

    private static void write(
            Lab lab, Lab.Daemon daemon, AtomicInteger numbers, Map<String, Long> acknowledged, AtomicBoolean stop) {
        Client session = null;
        while (!stop.get()) {
            try {
                session = session == null ? new Client(daemon.caller, "orders") : session;
                String value = "v" + numbers.incrementAndGet();
                lab.log("send %s to %s", value, daemon.name);
                Client.Answer answer = session.query("q" + value, "WRITE item " + value, 2000);
                lab.log("answer %s: %s", value, answer.brief());
                if (answer.succeeded()) {
                    acknowledged.put(value, lab.now());
                }
                if (!answer.complete()) {
                    session.close();
                    session = null;
                }
                Lab.sleep(50);
            } catch (IOException e) {
                session = null;
                try {
                    Lab.sleep(200);
                } catch (InterruptedException interrupted) {
                    return;
                }
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
