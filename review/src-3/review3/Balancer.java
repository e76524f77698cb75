package review3;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * The platform's choice of a daemon for a new connection, for one zone: each daemon is asked once a second, leaves the
 * rotation after two misses and returns with the next 200. If fewer than half are in rotation, all are used.
 */
public final class Balancer {

    private static final int MISSES = 2;

    private final Record record;
    private final List<Fleet.Daemon> daemons;
    private final int[] misses;
    private final boolean[] inRotation;
    private final Random random = new Random(51);

    /** Creates a balancer and starts to ask the daemons. */
    public Balancer(Record record, List<Fleet.Daemon> daemons) {
        this.record = record;
        this.daemons = daemons;
        misses = new int[daemons.size()];
        inRotation = new boolean[daemons.size()];
        Thread thread = new Thread(this::ask, "balancer");
        thread.setDaemon(true);
        thread.start();
    }

    private void ask() {
        try {
            while (true) {
                for (int index = 0; index < misses.length; index++) {
                    update(index, daemons.get(index).isReady());
                }
                Thread.sleep(1000);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void update(int index, boolean ready) {
        misses[index] = ready ? 0 : misses[index] + 1;
        boolean next = ready || (inRotation[index] && misses[index] < MISSES);
        if (next != inRotation[index]) {
            inRotation[index] = next;
            record.line("%s is %s rotation", daemons.get(index), next ? "in" : "out of");
        }
    }

    /** Returns the daemon for a new connection. */
    public synchronized Fleet.Daemon choose() {
        List<Fleet.Daemon> ready = new ArrayList<>();
        for (int index = 0; index < misses.length; index++) {
            if (inRotation[index]) {
                ready.add(daemons.get(index));
            }
        }
        List<Fleet.Daemon> used = 2 * ready.size() < daemons.size() ? daemons : ready;
        return used.get(random.nextInt(used.size()));
    }
}
