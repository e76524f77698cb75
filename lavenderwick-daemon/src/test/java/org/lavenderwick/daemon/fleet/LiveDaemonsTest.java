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

class LiveDaemonsTest {

    private static final Duration START = Duration.ofSeconds(100);
    private static final DaemonName DAEMON = DaemonName.of("d1");
    private static final Peer PEER =
            new Peer(FailureDomain.of("z1"), new InetSocketAddress(InetAddress.getLoopbackAddress(), 7001));

    private final LiveDaemons daemons = new LiveDaemons();

    private static Map<String, StoreEntry> entry(String value) {
        String key = LiveDaemons.key(DAEMON);
        return Map.of(key, new StoreEntry(key, value, 1));
    }

    @Test
    void areReadFromTheirEntries() {
        daemons.update(entry(LiveDaemons.encode(PEER)), START);
        assertThat(daemons.peers()).containsExactly(Map.entry(DAEMON, PEER));
    }

    @Test
    void stayDuringTheGracePeriodWithoutAnEntry() {
        daemons.update(entry(LiveDaemons.encode(PEER)), START);
        daemons.update(Map.of(), START);
        assertThat(daemons.removeExpired(START.plus(LiveDaemons.REMOVAL_GRACE).minusMillis(1)))
                .isFalse();
        assertThat(daemons.peers()).containsKey(DAEMON);
        assertThat(daemons.removeExpired(START.plus(LiveDaemons.REMOVAL_GRACE))).isTrue();
        assertThat(daemons.peers()).isEmpty();
    }

    @Test
    void stayIfTheirEntryIsWrittenAgain() {
        daemons.update(entry(LiveDaemons.encode(PEER)), START);
        daemons.update(Map.of(), START);
        daemons.update(entry(LiveDaemons.encode(PEER)), START.plusSeconds(2));
        daemons.removeExpired(START.plusSeconds(60));
        assertThat(daemons.peers()).containsKey(DAEMON);
    }

    @Test
    void areRemovedImmediatelyWhenTheyLeave() {
        daemons.update(entry(LiveDaemons.encode(PEER)), START);
        daemons.update(entry(LiveDaemons.encodeLeaving(PEER)), START);
        assertThat(daemons.peers()).isEmpty();
        daemons.update(Map.of(), START.plusSeconds(1));
        assertThat(daemons.peers()).isEmpty();
    }

    @Test
    void excludeDaemonsWithAnInvalidEntry() {
        daemons.update(entry("z1\nnowhere"), START);
        assertThat(daemons.peers()).isEmpty();
    }
}
