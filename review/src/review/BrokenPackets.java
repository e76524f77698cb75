package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Rude peers that send messages without an end make the daemons end. */
public final class BrokenPackets {

    /** Rude peers in each zone. */
    private static final int PEERS = Integer.parseInt(System.getenv().getOrDefault("PEERS", "126"));

    /** Bytes of a broken message; a whole one may have 1 MiB. */
    private static final int BYTES = 1_048_000;

    private static final int PERIODS = 3;
    private static final long PERIOD_MS = 6500;

    private BrokenPackets() {}

    public static void main(String[] arguments) throws IOException {
        Lab.main(arguments, BrokenPackets::run);
    }

    private static int run(Lab lab) throws Exception {
        Store store = new Store();
        Group group = new Group(lab, store, "db", 3, 0, 1000);
        group.configure(1, "orders primary 1000", "stock read_your_writes 1000");
        List<Lab.Daemon> daemons = new ArrayList<>();
        for (int index = 1; index <= 2; index++) {
            Lab.Daemon daemon = lab.daemon("d" + index, "z" + index, store.address(), group.cloudAddress(), List.of());
            daemons.add(daemon);
            daemon.start();
        }
        for (Lab.Daemon daemon : daemons) {
            daemon.awaitReady(20_000);
        }
        Traffic traffic = new Traffic(lab, daemons);
        for (int index = 0; index < 2; index++) {
            for (int each = 0; each < 4; each++) {
                traffic.start(index, "orders", "WRITE item# value#", 100, 2000);
                traffic.start(index, "stock", "READ item2", 100, 2000);
            }
        }
        int[] ends = new int[daemons.size()];
        Lab.sleep(6000);
        for (int period = 0; period < PERIODS; period++) {
            long end = lab.now() + PERIOD_MS;
            List<Socket> sockets = new ArrayList<>();
            if (lab.trouble) {
                lab.log("%d rude peers come", PEERS);
                for (int peer = 0; peer < PEERS * daemons.size(); peer++) {
                    sockets.add(comeTo(daemons.get(peer % daemons.size())));
                    // Two thirds of the period, so that no link is choked.
                    Lab.sleep(PERIOD_MS * 2 / 3 / PEERS / daemons.size());
                    restartEnded(lab, daemons, ends);
                }
            }
            while (lab.now() < end) {
                restartEnded(lab, daemons, ends);
                Lab.sleep(50);
            }
            for (Socket socket : sockets) {
                if (socket != null) {
                    socket.close();
                }
            }
            lab.log("the rude peers are gone");
            Lab.sleep(8000);
            restartEnded(lab, daemons, ends);
        }
        traffic.stop();
        lab.recordLogs("OutOfMemory", "[daemon]");
        lab.log("ends by themselves: %s", Arrays.toString(ends));
        return Arrays.stream(ends).allMatch(count -> count >= 3) ? Lab.BROKEN : Lab.HELD;
    }

    /** Sends the beginning of a session and of a message that does not end. */
    private static Socket comeTo(Lab.Daemon daemon) {
        try {
            Socket socket = new Socket();
            socket.connect(daemon.caller, 1000);
            OutputStream out = socket.getOutputStream();
            out.write("CONNECT orders rude\r\nQUERY 1 WRITE item ".getBytes(StandardCharsets.US_ASCII));
            byte[] data = new byte[BYTES];
            Arrays.fill(data, (byte) 'x');
            out.write(data);
            return socket;
        } catch (IOException e) {
            return null;
        }
    }

    private static void restartEnded(Lab lab, List<Lab.Daemon> daemons, int[] ends) throws IOException {
        for (int index = 0; index < ends.length; index++) {
            Lab.Daemon daemon = daemons.get(index);
            if (!daemon.isAlive()) {
                ends[index]++;
                lab.log("%s ended by itself with status %d", daemon.name, daemon.exitStatus());
                daemon.start();
            }
        }
    }
}
