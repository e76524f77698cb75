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
 * The live daemons of the fleet, according to the entries that they write to the store. An entry has two lines, the
 * failure domain and the address for peers; a third line says that the daemon is about to stop. Confined to one thread.
 */
final class LiveDaemons {

    static final String PREFIX = "hosts/";

    /**
     * Time for which a daemon counts as live after its entry was removed. A daemon whose lease was revoked learns of
     * it at the next renewal and then has to write the entry again. Work that is sent to a dead daemon during this time
     * is retried with another daemon.
     */
    static final Duration REMOVAL_GRACE = Duration.ofSeconds(5);

    private static final String LEAVING = "leaving";

    /** Lines of the entry of a daemon that accepts work. */
    private static final int ACTIVE_LINE_COUNT = 2;

    private static final Logger LOG = Logger.getLogger(LiveDaemons.class);

    private final Map<DaemonName, Peer> peers = new HashMap<>();
    private final Map<DaemonName, Duration> missingSince = new HashMap<>();

    /** Returns the key of the entry of a daemon. */
    static String key(DaemonName daemon) {
        return PREFIX + daemon.value();
    }

    /** Returns the entry value of a daemon that accepts work. */
    static String encode(Peer peer) {
        return peer.failureDomain().value() + "\n"
                + Addresses.join(
                        peer.address().getAddress().getHostAddress(),
                        peer.address().getPort());
    }

    /** Returns the entry value of a daemon that is about to stop and accepts no more work. */
    static String encodeLeaving(Peer peer) {
        return encode(peer) + "\n" + LEAVING;
    }

    /** Updates the live daemons from the entries in the store. A daemon that is leaving is removed immediately. */
    void update(Map<String, StoreEntry> entries, Duration now) {
        Map<DaemonName, Peer> present = decode(entries);
        Set<DaemonName> removed = new HashSet<>(peers.keySet());
        removed.removeAll(present.keySet());
        for (DaemonName daemon : removed) {
            if (entries.containsKey(key(daemon))) {
                peers.remove(daemon);
                missingSince.remove(daemon);
            } else {
                missingSince.putIfAbsent(daemon, now);
            }
        }
        present.forEach((daemon, peer) -> {
            peers.put(daemon, peer);
            missingSince.remove(daemon);
        });
    }

    /** Removes the daemons whose entries have been missing for {@link #REMOVAL_GRACE}; returns if there were any. */
    boolean removeExpired(Duration now) {
        return missingSince.entrySet().removeIf(missing -> {
            boolean expired = missing.getValue().plus(REMOVAL_GRACE).compareTo(now) <= 0;
            if (expired) {
                peers.remove(missing.getKey());
            }
            return expired;
        });
    }

    /** Returns the live daemons that accept work. */
    Map<DaemonName, Peer> peers() {
        return ImmutableMap.copyOf(peers);
    }

    /** Returns the daemons that accept work according to the given entries. Invalid entries are ignored. */
    static Map<DaemonName, Peer> decode(Map<String, StoreEntry> entries) {
        Map<DaemonName, Peer> peers = new HashMap<>();
        entries.forEach((key, entry) -> {
            List<String> lines = Splitter.on('\n').splitToList(entry.value());
            if (lines.size() == ACTIVE_LINE_COUNT && !lines.get(0).isBlank() && Addresses.isIpAndPort(lines.get(1))) {
                peers.put(
                        DaemonName.of(key.substring(PREFIX.length())),
                        new Peer(FailureDomain.of(lines.get(0)), Addresses.socketAddress(lines.get(1))));
            } else if (lines.size() <= ACTIVE_LINE_COUNT) {
                LOG.debugf("[fleet] Ignoring the entry %s: its value is not a failure domain and an address.", key);
            }
        });
        return peers;
    }
}
