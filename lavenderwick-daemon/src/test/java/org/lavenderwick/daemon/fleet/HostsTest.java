package org.lavenderwick.daemon.fleet;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.core.store.StoreEntry;
import org.lavenderwick.daemon.session.Peer;

import static org.assertj.core.api.Assertions.assertThat;

class HostsTest {

    private static final Duration START = Duration.ofSeconds(100);
    private static final DaemonName DAEMON = DaemonName.of("d1");
    private static final Peer PEER =
            new Peer(FailureDomain.of("z1"), new InetSocketAddress(InetAddress.getLoopbackAddress(), 7001));

    private final Hosts hosts = new Hosts();

    private static Map<String, StoreEntry> entry(String value) {
        String key = Hosts.key(DAEMON);
        return Map.of(key, new StoreEntry(key, value, 1));
    }

    @Test
    void areKnownByTheirEntries() {
        hosts.take(entry(Hosts.encode(PEER)), START);
        assertThat(hosts.alive()).containsExactly(Map.entry(DAEMON, PEER));
    }

    @Test
    void stayForAWhileWithoutAnEntry() {
        hosts.take(entry(Hosts.encode(PEER)), START);
        hosts.take(Map.of(), START);
        assertThat(hosts.expire(START.plus(Hosts.GRACE).minusMillis(1))).isFalse();
        assertThat(hosts.alive()).containsKey(DAEMON);
        assertThat(hosts.expire(START.plus(Hosts.GRACE))).isTrue();
        assertThat(hosts.alive()).isEmpty();
    }

    @Test
    void stayIfTheirEntryComesBack() {
        hosts.take(entry(Hosts.encode(PEER)), START);
        hosts.take(Map.of(), START);
        hosts.take(entry(Hosts.encode(PEER)), START.plusSeconds(2));
        hosts.expire(START.plusSeconds(60));
        assertThat(hosts.alive()).containsKey(DAEMON);
    }

    @Test
    void goAtOnceWhenTheyLeave() {
        hosts.take(entry(Hosts.encode(PEER)), START);
        hosts.take(entry(Hosts.encodeLeaving(PEER)), START);
        assertThat(hosts.alive()).isEmpty();
        hosts.take(Map.of(), START.plusSeconds(1));
        assertThat(hosts.alive()).isEmpty();
    }

    @Test
    void withAnEntryThatCannotBeReadAreUnknown() {
        hosts.take(entry("z1\nnowhere"), START);
        assertThat(hosts.alive()).isEmpty();
    }
}
