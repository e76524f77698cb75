package org.lavenderwick.daemon;

import java.nio.file.Path;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.lavenderwick.platform.standin.DatabaseStandin;
import org.lavenderwick.platform.standin.OperatorStandin;
import org.lavenderwick.platform.standin.StoreStandin;

import static org.assertj.core.api.Assertions.assertThat;

/** Runs a daemon of the session interface in a process of its own and sends signals to it. */
class SessionProcessTest {

    private static final int STOP_SECONDS = 2;

    @TempDir
    private Path directory;

    private StoreStandin store;
    private DatabaseStandin database;
    private DaemonProcess daemon;

    @BeforeEach
    void start() throws Exception {
        store = StoreStandin.start();
        database = DatabaseStandin.start(SessionFleet.GROUP, SessionFleet.ENDPOINTS, store);
        OperatorStandin.configure(store, 1, SessionFleet.DATABASE, "primary", SessionFleet.GROUP, 1000);
        daemon = new DaemonProcess("d1", directory, store.address(), database.ordersAddress(), STOP_SECONDS);
        daemon.start();
        daemon.awaitService();
    }

    @AfterEach
    void stop() {
        daemon.kill();
        database.close();
        store.close();
    }

    /** Guards against a stop whose log ends with its first line, so that nobody can tell why a request was cut. */
    @Test
    void endOfTheDrainIsLogged() throws Exception {
        daemon.signal("TERM");
        assertThat(daemon.awaitEnd()).isTrue();
        assertThat(daemon.logLines()).anyMatch(line -> line.contains("[daemon] Drain ended"));
    }

    /** Guards against a second signal, or a reload of the settings, that ends a daemon in the middle of its drain. */
    @Test
    void furtherSignalsDoNotEndTheDrain() throws Exception {
        daemon.signal("TERM");
        daemon.signal("HUP");
        daemon.signal("INT");
        daemon.signal("TERM");
        assertThat(daemon.awaitEnd()).isTrue();
        assertThat(daemon.logLines())
                .filteredOn(line -> line.contains("Stopping:"))
                .hasSize(1);
        assertThat(daemon.logLines()).anyMatch(line -> line.contains("[daemon] Drain ended"));
    }
}
