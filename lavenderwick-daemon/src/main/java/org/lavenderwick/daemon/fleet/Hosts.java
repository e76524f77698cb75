package org.lavenderwick.daemon.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableMap;
import org.jboss.logging.Logger;
import org.lavenderwick.adapters.settings.Addresses;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.core.store.StoreEntry;
import org.lavenderwick.daemon.session.Peer;

/**
 * The daemons that are taken as alive, by the entries under which they find each other: the failure domain and the
 * address for peers, on two lines, and a third one when the daemon is about to stop. Confined to one thread.
 */
final class Hosts {

    static final String PREFIX = "hosts/";

    /**
     * Time for which a daemon is kept whose entry has vanished: a daemon whose lease was revoked notices when it renews
     * it, and then tries to write the entry anew. Work that goes to a dead daemon meanwhile turns to another one.
     */
    static final Duration GRACE = Duration.ofSeconds(5);

    private static final String LEAVING = "leaving";

    private static final int LINES = 2;

    private static final Logger LOG = Logger.getLogger(Hosts.class);

    private final Map<DaemonName, Peer> alive = new HashMap<>();
    private final Map<DaemonName, Duration> missingSince = new HashMap<>();

    static String key(DaemonName daemon) {
        return PREFIX + daemon.value();
    }

    static String encode(Peer peer) {
        return peer.failureDomain().value() + "\n"
                + Addresses.join(
                        peer.address().getAddress().getHostAddress(),
                        peer.address().getPort());
    }

    /** Returns the entry of a daemon that takes no more work. */
    static String encodeLeaving(Peer peer) {
        return encode(peer) + "\n" + LEAVING;
    }

    /** Takes all entries as they stand. */
    void take(Map<String, StoreEntry> entries, Duration now) {
        Map<DaemonName, Peer> present = decode(entries);
        Set<DaemonName> gone = new HashSet<>(alive.keySet());
        gone.removeAll(present.keySet());
        for (DaemonName daemon : gone) {
            if (entries.containsKey(key(daemon))) {
                alive.remove(daemon);
                missingSince.remove(daemon);
            } else {
                missingSince.putIfAbsent(daemon, now);
            }
        }
        present.forEach((daemon, peer) -> {
            alive.put(daemon, peer);
            missingSince.remove(daemon);
        });
    }

    /** Forgets the daemons whose entries have been missing for too long; returns whether there were any. */
    boolean expire(Duration now) {
        return missingSince.entrySet().removeIf(missing -> {
            boolean over = missing.getValue().plus(GRACE).compareTo(now) <= 0;
            if (over) {
                alive.remove(missing.getKey());
            }
            return over;
        });
    }

    /** Returns the daemons that are taken as alive. */
    Map<DaemonName, Peer> alive() {
        return ImmutableMap.copyOf(alive);
    }

    /** Returns the daemons that take work; an entry that cannot be read is left out. */
    static Map<DaemonName, Peer> decode(Map<String, StoreEntry> entries) {
        Map<DaemonName, Peer> peers = new HashMap<>();
        entries.forEach((key, entry) -> {
            List<String> lines = Splitter.on('\n').splitToList(entry.value());
            if (lines.size() == LINES && !lines.get(0).isBlank() && Addresses.isIpAndPort(lines.get(1))) {
                peers.put(
                        DaemonName.of(key.substring(PREFIX.length())),
                        new Peer(FailureDomain.of(lines.get(0)), Addresses.socketAddress(lines.get(1))));
            } else if (lines.size() <= LINES) {
                LOG.debugf("[fleet] The entry %s is ignored: it is not a failure domain and an address.", key);
            }
        });
        return peers;
    }
}
