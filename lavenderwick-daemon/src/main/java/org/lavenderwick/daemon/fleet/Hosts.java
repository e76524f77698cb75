package org.lavenderwick.daemon.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.google.common.base.Splitter;
import org.jboss.logging.Logger;
import org.lavenderwick.adapters.settings.Addresses;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.core.store.StoreEntry;
import org.lavenderwick.daemon.session.Peer;

/** The entries by which daemons find each other: the failure domain and the address for peers, on two lines. */
final class Hosts {

    static final String PREFIX = "hosts/";

    private static final int LINES = 2;

    private static final Logger LOG = Logger.getLogger(Hosts.class);

    private Hosts() {}

    static String key(DaemonName daemon) {
        return PREFIX + daemon.value();
    }

    static String encode(Peer peer) {
        return peer.domain().value() + "\n"
                + Addresses.join(
                        peer.address().getAddress().getHostAddress(),
                        peer.address().getPort());
    }

    /** Returns the daemons of all entries; an entry that cannot be read is left out. */
    static Map<DaemonName, Peer> decode(Map<String, StoreEntry> entries) {
        Map<DaemonName, Peer> peers = new HashMap<>();
        entries.forEach((key, entry) -> {
            List<String> lines = Splitter.on('\n').splitToList(entry.value());
            if (lines.size() == LINES && !lines.get(0).isBlank() && Addresses.isIpAndPort(lines.get(1))) {
                peers.put(
                        DaemonName.of(key.substring(PREFIX.length())),
                        new Peer(FailureDomain.of(lines.get(0)), Addresses.socketAddress(lines.get(1))));
            } else {
                LOG.debugf("[fleet] The entry %s is ignored: it is not a failure domain and an address.", key);
            }
        });
        return peers;
    }
}
