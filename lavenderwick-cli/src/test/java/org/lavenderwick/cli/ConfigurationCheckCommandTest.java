package org.lavenderwick.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

class ConfigurationCheckCommandTest {

    private static final String VALID = """
            {"version": 7,
             "routes": [{"host": "orders", "kind": "bounded", "timeoutMs": 1000, "goalMs": 400, "priority": 0,
                         "service": "db", "maxStalenessMs": 1500}],
             "services": [{"name": "db", "maxConns": 66}],
             "limits": {"txIdleMs": 3000, "idleTimeoutMs": 15000},
             "tenants": [{"name": "small", "apiKeys": ["secret-1"], "ratePerS": 2, "burst": 3}]}
            """;

    @TempDir
    private Path directory;

    private String file(String name, String content) throws IOException {
        Path path = directory.resolve(name);
        Files.writeString(path, content);
        return path.toString();
    }

    private static CommandRun check(String... arguments) {
        String[] words = new String[2 + arguments.length];
        words[0] = "configuration";
        words[1] = "check";
        System.arraycopy(arguments, 0, words, 2, arguments.length);
        return CommandRun.of(words);
    }

    @Test
    void validDocumentPassesWithoutOutput() throws IOException {
        CommandRun run = check(file("a.json", VALID));

        assertThat(run.code()).isEqualTo(ExitCode.DONE);
        assertThat(run.out()).isEmpty();
    }

    /** Guards against a document that daemons would ignore whole, or serve in another way than it says. */
    @Test
    void errorsAreShownWithTheirPathAndFailTheCommand() throws IOException {
        CommandRun run = check(file(
                "a.json",
                VALID.replace("\"service\": \"db\"", "\"service\": \"other\"").replace("[\"secret-1\"]", "[\"\"]")));

        assertThat(run.code()).isEqualTo(ExitCode.FAILED);
        assertThat(run.out())
                .contains("error    routes[0].service: is not the name of a service: \"other\"")
                .contains("error    tenants[0].apiKeys[0]: is empty, has blanks or is not a text")
                .contains("warning  services[0]: no route leads to the service db");
    }

    @Test
    void limitsThatContradictEachOtherAreWarnings() throws IOException {
        CommandRun run = check(file("a.json", VALID.replace("400", "2000").replace("15000", "1000")));

        assertThat(run.code()).isEqualTo(ExitCode.DONE);
        assertThat(run.out()).hasSize(2);
        assertThat(run.out().get(0)).startsWith("warning  routes[0].goalMs: is above timeoutMs");
        assertThat(run.out().get(1)).startsWith("warning  limits.txIdleMs: is above limits.idleTimeoutMs");
    }

    /** Guards against keys in the output, which operators paste into tickets. */
    @Test
    void differencesNameKeysByFingerprint() throws IOException {
        String later = VALID.replace("\"version\": 7", "\"version\": 9")
                .replace("secret-1", "secret-2")
                .replace("\"orders\"", "\"invoices\"");
        CommandRun run = check(file("b.json", later), "--against", file("a.json", VALID), "--json");

        assertThat(run.code()).isEqualTo(ExitCode.DONE);
        assertThat(run.out()).hasSize(1);
        assertThat(run.out().get(0))
                .contains("version 7 -> 9", "route orders: removed", "route invoices: added")
                .contains("account small: withdraws the key ", "account small: adds the key ")
                .doesNotContain("secret");
    }

    @Test
    void versionThatIsNotNewerIsSaid() throws IOException {
        CommandRun run = check(file("b.json", VALID), "--against", file("a.json", VALID));

        assertThat(run.out()).containsExactly("change   version 7 is not above 7: daemons would ignore it");
    }
}
