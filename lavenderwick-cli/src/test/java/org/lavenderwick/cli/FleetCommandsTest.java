package org.lavenderwick.cli;

import java.io.IOException;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lavenderwick.platform.standin.DatabaseStandin;
import org.lavenderwick.platform.standin.OperatorStandin;
import org.lavenderwick.platform.standin.StoreStandin;

import static org.assertj.core.api.Assertions.assertThat;

class FleetCommandsTest {

    private StoreStandin store;
    private DatabaseStandin database;

    @BeforeEach
    void start() throws IOException {
        store = StoreStandin.start();
        database = DatabaseStandin.start("db", 2, store);
        OperatorStandin.configure(store, 7, "orders", "primary", "db", 1000);
        store.put("lavenderwick/hosts/d1", "z1\n127.0.0.1:7001");
    }

    @AfterEach
    void stop() {
        database.close();
        store.close();
    }

    private CommandRun run(String command) {
        return CommandRun.of(
                "fleet", command, "--store", "127.0.0.1:" + store.address().getPort());
    }

    @Test
    void statusShowsConfigurationGroupsAndDaemons() {
        CommandRun run = run("status");

        assertThat(run.code()).isEqualTo(ExitCode.DONE);
        assertThat(run.out().get(0)).isEqualTo("configuration 7 with 1 databases");
        assertThat(run.out().get(1)).isEqualTo("group db: no primary recorded");
        assertThat(run.out().get(2)).startsWith("  db-1  primary  ready  z1  127.0.0.1:");
        assertThat(run.out().get(3)).startsWith("  db-2  replica  ready  z1  127.0.0.1:");
        assertThat(run.out().subList(4, 6)).containsExactly("daemons:", "  d1  z1  127.0.0.1:7001");
    }

    @Test
    void auditShowsReplacements() {
        store.put("lavenderwick/audit/db", "2026-12-04T08:00:00Z\td1\tdb-1\tdb-2\tthe primary is leaving");

        assertThat(run("audit").out())
                .containsExactly("2026-12-04T08:00:00Z  d1  db  db-1 -> db-2  the primary is leaving");
    }

    @Test
    void storeThatDoesNotAnswerFailsTheCommand() {
        store.down(true);

        assertThat(run("status").code()).isEqualTo(ExitCode.FAILED);
        assertThat(run("status").err().get(0)).contains("The store cannot be read");
    }
}
