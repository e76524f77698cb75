package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The order of a holder that has ended reaches the platform after the order of its successor. */
public final class StalePromote {

    private StalePromote() {}

    public static void main(String[] arguments) throws IOException {
        Lab.main(arguments, StalePromote::run);
    }

    private static int run(Lab lab) throws Exception {
        Store store = new Store();
        Group group = new Group(lab, store, "db", 3, 0, 1000);
        group.configure(1, "orders primary 1000", "kiln bounded 2000", "stock read_your_writes 1000");
        List<Link> links = new ArrayList<>();
        List<Lab.Daemon> daemons = new ArrayList<>();
        for (int index = 1; index <= 3; index++) {
            Link link = new Link(group.cloudAddress());
            links.add(link);
            daemons.add(lab.daemon("d" + index, "z" + index, store.address(), link.address(), List.of()));
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
            traffic.start(index, "stock", "READ item2", 50, 2000);
        }
        long t = lab.now() + 8000;
        // Planned work: backends are replaced one after the other. The new one starts first, then the old one drains.
        lab.sleepUntil(t - 2000);
        group.add("db-4", "z1");
        lab.sleepUntil(t);
        if (lab.trouble) {
            // Of the three daemons, d1 comes first for this group.
            lab.log("the link between d1 and the platform's calls is cut");
            links.get(0).cut(true);
        }
        lab.sleepUntil(t + 300);
        group.backend("db-1").drain();
        // Planned work: the daemons are stopped and started in turn, d1 first.
        lab.sleepUntil(t + 900);
        daemons.get(0).signal("TERM");
        while (daemons.get(0).isAlive() && lab.now() < t + 6900) {
            Lab.sleep(20);
        }
        lab.log("the first process of d1 runs: %s", daemons.get(0).isAlive());
        Lab.sleep(500);
        daemons.get(0).start();
        lab.sleepUntil(t + 7000);
        group.add("db-5", "z2");
        lab.sleepUntil(t + 7600);
        group.backend("db-2").drain();
        lab.sleepUntil(t + 11_700);
        if (lab.trouble) {
            lab.log("the link is whole again");
            links.get(0).cut(false);
        }
        lab.sleepUntil(t + 18_000);
        traffic.stop();
        lab.recordLogs("[failover]", "[daemon]");
        List<Group.PromoteCall> calls;
        List<Group.Promotion> promotions;
        Set<String> kept = new HashSet<>();
        synchronized (group) {
            calls = List.copyOf(group.calls);
            promotions = List.copyOf(group.promotions);
            group.leader().log.forEach(commit -> kept.add(commit.value()));
        }
        long highest = 0;
        int status = Lab.HELD;
        for (Group.PromoteCall call : calls) {
            if (call.fence() < highest) {
                lab.log("%s sent fence %d at %.3f, after the platform had seen %d", call.holder(), call.fence(),
                        call.at() / 1000.0, highest);
                status = Lab.BROKEN;
            }
            highest = Math.max(highest, call.fence());
        }
        if (promotions.isEmpty()) {
            return Lab.CANNOT_RUN;
        }
        long lastAt = promotions.get(promotions.size() - 1).at();
        List<String> lost = traffic.acknowledgedValues(lastAt);
        lost.removeAll(kept);
        lab.log("writes sent after the last promotion took effect, acknowledged, and not in the log at the end: %d %s",
                lost.size(), lost);
        return status;
    }
}
