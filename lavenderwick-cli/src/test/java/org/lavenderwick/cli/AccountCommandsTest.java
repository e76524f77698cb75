package org.lavenderwick.cli;

import java.io.IOException;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lavenderwick.platform.standin.StoreStandin;

import static org.assertj.core.api.Assertions.assertThat;

class AccountCommandsTest {

    private static final String DOCUMENT = """
            {"version": 7, "routes": [], "services": [], "tenants": [
              {"name": "small", "apiKeys": ["secret-1"], "priority": 1, "ratePerS": 2, "burst": 3},
              {"name": "large", "apiKeys": ["secret-2", "secret-3"], "priority": 0, "ratePerS": 245, "burst": 245}]}
            """;

    private StoreStandin store;

    @BeforeEach
    void start() throws IOException {
        store = StoreStandin.start();
        store.put("op/config", DOCUMENT);
    }

    @AfterEach
    void stop() {
        store.close();
    }

    private CommandRun run(String command, String... arguments) {
        String[] words = new String[4 + arguments.length];
        words[0] = "account";
        words[1] = command;
        System.arraycopy(arguments, 0, words, 2, arguments.length);
        words[words.length - 2] = "--store";
        words[words.length - 1] = "127.0.0.1:" + store.address().getPort();
        return CommandRun.of(words);
    }

    @Test
    void listShowsTheLargestAccountFirst() {
        assertThat(run("list").out())
                .containsExactly(
                        "configuration 7 with 2 accounts",
                        "large  priority 0  245.0 operations a second, burst 245.0  keys 2",
                        "small  priority 1  2.0 operations a second, burst 3.0  keys 1");
    }

    /** Guards against keys in the output, which operators paste into tickets. */
    @Test
    void showNamesKeysByFingerprintOnly() {
        CommandRun run = run("show", "large");

        assertThat(run.code()).isEqualTo(ExitCode.DONE);
        assertThat(run.out()).hasSize(5);
        assertThat(run.out().get(3)).matches("key with fingerprint [0-9a-f]{16}");
        assertThat(String.join("\n", run.out())).doesNotContain("secret");
    }

    @Test
    void unknownAccountFails() {
        CommandRun run = run("show", "other");

        assertThat(run.code()).isEqualTo(ExitCode.FAILED);
        assertThat(run.err().get(0)).contains("no account other");
    }
}
