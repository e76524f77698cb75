package review2;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

/** Tells which of the daemons that a test started opened a connection, from its port at the daemon. */
final class Owners {
    private final List<Daemon> daemons;

    Owners(List<Daemon> daemons) {
        this.daemons = daemons;
    }

    /** Returns the name of the daemon; empty if none has the port. */
    String find(int port) {
        for (Daemon daemon : daemons) {
            if (daemon.process() != null && hasPort(daemon.process().pid(), port)) {
                return daemon.name();
            }
        }
        return "";
    }

    private static boolean hasPort(long process, int port) {
        String suffix = String.format(Locale.ROOT, ":%04X", port);
        try {
            for (String table : List.of("tcp", "tcp6")) {
                for (String line : Files.readAllLines(Path.of("/proc/" + process + "/net/" + table))) {
                    String[] fields = line.strip().split("\\s+");
                    if (fields.length > 9 && fields[1].endsWith(suffix) && hasSocket(process, fields[9])) {
                        return true;
                    }
                }
            }
        } catch (IOException e) {
            // The process has ended.
            return false;
        }
        return false;
    }

    private static boolean hasSocket(long process, String inode) throws IOException {
        try (var descriptors = Files.list(Path.of("/proc/" + process + "/fd"))) {
            return descriptors.anyMatch(each -> {
                try {
                    return Files.readSymbolicLink(each).toString().equals("socket:[" + inode + "]");
                } catch (IOException e) {
                    return false;
                }
            });
        }
    }
}
