package org.lavenderwick.adapters.sheet;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lavenderwick.adapters.settings.DaemonSettingsLoader;
import org.lavenderwick.core.configuration.Configuration;
import org.lavenderwick.core.configuration.RankSettings;
import org.lavenderwick.core.configuration.SessionKey;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.model.ServiceName;

import static org.assertj.core.api.Assertions.assertThat;

class SheetImportTest {

    private static final Path EXAMPLES = Path.of("..", "examples");

    private static final String SHEET = """
            kind,name,service,group,max_staleness_ms,target_ms,worth,floor_share,failure_domain,address,connections,slots,from,until
            service,desk,,,250,,,,,,,,,
            rank,urgent,desk,,,100,50,0.5,,,,,,
            rank,later,desk,,,5000,1,30%,,,,,,
            group,orders,desk,,,,,,,,,,,
            endpoint,o1,,orders,,,,,yura,127.0.1.1:9000,20,3,,
            endpoint,o2,,orders,,,,,cayma,127.0.2.1:9000,20,3,,
            stop,o2,,orders,,,,,,,,,2026-12-10 02:00-05:00,2026-12-10T08:00Z
            """;

    private static Sheet accepted(String text) {
        var result = SheetImport.parse(text.getBytes(StandardCharsets.UTF_8));
        assertThat(result.isRight()).as("%s", result).isTrue();
        return result.get();
    }

    private static List<String> refused(String text) {
        var result = SheetImport.parse(text.getBytes(StandardCharsets.UTF_8));
        assertThat(result.isLeft()).isTrue();
        return result.getLeft().stream().map(SheetProblem::toString).toList();
    }

    @Nested
    class Accepting {

        /** Guards against a cell that is read into the wrong setting. */
        @Test
        void readsEveryColumn() {
            Sheet sheet = accepted(SHEET);
            Configuration configuration = sheet.toConfiguration(9, List.of(new SessionKey("k1", "c2VjcmV0")));

            assertThat(configuration.version()).isEqualTo(9);
            assertThat(configuration.sessionKeys()).extracting(SessionKey::id).containsExactly("k1");
            var desk = sheet.services().get(ServiceName.of("desk"));
            assertThat(desk.defaultMaxStaleness()).isEqualTo(Duration.ofMillis(250));
            assertThat(desk.ranks()).extracting(RankSettings::floorShare).containsExactly(0.5, 0.3);
            assertThat(desk.ranks()).extracting(RankSettings::worth).containsExactly(50, 1);
            assertThat(desk.ranks().get(0).target()).isEqualTo(Duration.ofMillis(100));
            var orders = sheet.groups().get(GroupName.of("orders"));
            assertThat(orders.service()).isEqualTo(ServiceName.of("desk"));
            assertThat(orders.endpoints().get(0).address()).isEqualTo("127.0.1.1:9000");
            var second = orders.endpoint(EndpointName.of("o2")).orElseThrow();
            assertThat(second.failureDomain().value()).isEqualTo("cayma");
            assertThat(second.connectionLimit()).isEqualTo(20);
            assertThat(second.slots()).isEqualTo(3);
            assertThat(sheet.plannedStops().get(0).from()).isEqualTo(Instant.parse("2026-12-10T07:00:00Z"));
            assertThat(sheet.plannedStops().get(0).until()).isEqualTo(Instant.parse("2026-12-10T08:00:00Z"));
        }

        /** Guards against a refusal of what spreadsheets add or change on export. */
        @Test
        void toleratesTheFormsOfASpreadsheet() {
            Sheet expected = accepted(SHEET);
            String blankLines = "\n" + SHEET.replace("group,orders", "\n,,,,,,,,,,,,,\n\ngroup,orders") + "\n\n";

            assertThat(accepted("\uFEFF" + SHEET)).isEqualTo(expected);
            assertThat(accepted(SHEET.replace(',', ';'))).isEqualTo(expected);
            assertThat(accepted(SHEET.replace(',', ';').replace("0.5", "0,5"))).isEqualTo(expected);
            assertThat(accepted(blankLines)).isEqualTo(expected);
            assertThat(accepted(SHEET.replace("\n", ",,,\r\n"))).isEqualTo(expected);
            assertThat(accepted(SHEET.replace("max_staleness_ms", "\"Max Staleness ms\"")))
                    .isEqualTo(expected);
            assertThat(accepted(SHEET.replace("rank,urgent", "Rank, urgent "))).isEqualTo(expected);
        }

        /** Guards against a sheet whose rows must stand in one order. */
        @Test
        void resolvesReferencesInAnyOrder() {
            String[] lines = SHEET.split("\n");
            String reordered =
                    String.join("\n", lines[0], lines[7], lines[5], lines[6], lines[4], lines[2], lines[3], lines[1]);

            assertThat(accepted(reordered)).isEqualTo(accepted(SHEET));
        }

        /** Guards against examples that no longer load. */
        @ParameterizedTest
        @ValueSource(strings = {"huancahuasi", "keenedge"})
        void readsTheExamples(String organisation) throws Exception {
            var result = SheetImport.parse(Files.readAllBytes(EXAMPLES.resolve(organisation + ".csv")));

            assertThat(result.isRight()).as("%s", result).isTrue();
            assertThat(result.get().services()).hasSize(3);
            assertThat(result.get().groups().values())
                    .hasSize(3)
                    .allMatch(group -> group.endpoints().size() == 3);
            List<Path> daemons = new ArrayList<>();
            try (var files = Files.newDirectoryStream(EXAMPLES, organisation + "-daemon-*.json")) {
                files.forEach(daemons::add);
            }
            assertThat(daemons)
                    .hasSize(3)
                    .allMatch(file -> DaemonSettingsLoader.load(file).isRight());
        }
    }

    @Nested
    class Refusing {

        /** Guards against planners who must import the sheet once for each fault. */
        @Test
        void reportsAllFaultsWithTheirPlaces() {
            String sheet = SHEET.replace("rank,later,desk", "rank,urgent,dest")
                            .replace("0.5", "1.5")
                            .replace(
                                    "endpoint,o2,,orders,,,,,cayma,127.0.2.1:9000,20,3",
                                    "endpoint,o1,9,orders,,,,,cayma,localhost:1,0,x")
                            .replace("2026-12-10T08:00Z", "2026-12-10T06:00Z")
                    + "\nstpo,x\n";

            assertThat(refused(sheet))
                    .satisfiesExactly(
                            problem -> assertThat(problem).startsWith("row 3, column floor_share: is \"1.5\""),
                            problem -> assertThat(problem).startsWith("row 4, column service: is \"dest\""),
                            problem -> assertThat(problem).startsWith("row 7, column service: must be empty"),
                            problem -> assertThat(problem).startsWith("row 7, column address: is \"localhost:1\""),
                            problem -> assertThat(problem).startsWith("row 7, column connections: is \"0\""),
                            problem -> assertThat(problem).startsWith("row 7, column slots: is \"x\""),
                            problem -> assertThat(problem).startsWith("row 7, column name: names the endpoint \"o1\""),
                            problem -> assertThat(problem).startsWith("row 8, column name: is \"o2\", which is no"),
                            problem -> assertThat(problem).startsWith("row 8, column until: is not after the start"),
                            problem -> assertThat(problem).startsWith("row 10, column kind: is \"stpo\""));
        }

        /** Guards against single faults that pass; each replaces one piece of a sheet without faults. */
        @ParameterizedTest
        @CsvSource(delimiter = '|', textBlock = """
                        group,orders,desk        | group,orders,shop         | row 5, column service: is "shop"
                        endpoint,o1,,orders      | endpoint,o1,,order        | row 6, column group: is "order"
                        service,desk             | service,d sk              | row 2, column name: is "d sk"
                        rank,later,desk          | rank,urgent,desk          | row 4, column name: names the rank
                        30%                      | 60%                       | row 4, column floor_share: brings the floor
                        5000                     | -1                        | row 4, column target_ms: is "-1"
                        5000                     | 99999999999999999999      | row 4, column target_ms: is "99999999999999999999"
                        5000                     | 5'000                     | row 4, column target_ms: is "5'000"
                        127.0.2.1:9000           | 127.0.1.1:9000            | row 7, column address: is "127.0.1.1:9000"
                        127.0.2.1:9000           | 127.0.2.1                 | row 7, column address: is "127.0.2.1"
                        02:00-05:00              | 02:00                     | row 8, column from: is "2026-12-10 02:00"
                        kind,name                | kind,nom                  | row 1, column nom: is not a known column
                        kind,name,service        | kind,name,name            | row 1, column name: occurs twice
                        """)
        void refusesASingleFault(String piece, String replacement, String expected) {
            assertThat(SHEET).contains(piece);
            assertThat(refused(SHEET.replace(piece, replacement)).get(0)).startsWith(expected);
        }

        /** Guards against a cut file that is accepted up to its last whole row. */
        @Test
        void refusesAQuoteThatIsNotClosed() {
            assertThat(refused(SHEET.replace("rank,later", "rank,\"later")))
                    .singleElement()
                    .asString()
                    .startsWith("row 4: is not valid CSV");
        }

        /** Guards against a stack trace, or an empty configuration, from a file that is no sheet. */
        @Test
        void refusesWhatIsNoSheet() {
            assertThat(refused("")).hasSize(1);
            assertThat(refused("\n\n")).hasSize(1);
            assertThat(refused(SHEET.lines().findFirst().orElseThrow()))
                    .containsExactly("sheet: has no row below the header");
            assertThat(refused("{\"a\": 1}")).isNotEmpty();
            assertThat(SheetImport.parse(new byte[] {(byte) 0xff, (byte) 0xfe, 0})
                            .getLeft())
                    .hasSize(1);
        }

        /** Guards against services that refuse all work, and groups that have no endpoint. */
        @Test
        void refusesIncompleteParts() {
            String sheet = SHEET + "service,empty\ngroup,bare,empty\n";

            assertThat(refused(sheet))
                    .containsExactly(
                            "row 9, column name: names a service without a row of kind rank",
                            "row 10, column name: names a group without a row of kind endpoint");
        }
    }
}
