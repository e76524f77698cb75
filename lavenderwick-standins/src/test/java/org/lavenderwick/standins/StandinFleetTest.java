package org.lavenderwick.standins;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lavenderwick.adapters.endpoint.EndpointConnection;
import org.lavenderwick.adapters.endpoint.TransactionStep;
import org.lavenderwick.adapters.json.JsonMappers;
import org.lavenderwick.core.configuration.Configuration;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.core.model.Term;
import org.lavenderwick.core.promotion.GroupRecord;
import org.lavenderwick.core.promotion.GroupState;
import org.lavenderwick.core.promotion.TermStart;
import org.lavenderwick.standins.history.TermOpening;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lavenderwick.standins.TestFleet.FIRST;
import static org.lavenderwick.standins.TestFleet.GROUP;
import static org.lavenderwick.standins.TestFleet.PATIENCE;
import static org.lavenderwick.standins.TestFleet.SECOND;
import static org.lavenderwick.standins.TestFleet.SHORT;
import static org.lavenderwick.standins.TestFleet.THIRD;
import static org.lavenderwick.standins.TestFleet.await;
import static org.lavenderwick.standins.TestFleet.until;

class StandinFleetTest {

    private static final String ADD = "[{'op':'add','key':'a','amount':1}]";

    private TestFleet fleet;

    @BeforeEach
    void start() {
        fleet = new TestFleet(EndpointOptions.DEFAULT);
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    /** Guards against daemons that find no group record, or addresses at which nothing listens. */
    @Test
    void platformHoldsTheFirstRecordsAndTheRealAddresses() throws Exception {
        fleet.fleet().publishConfiguration();
        PlatformServer platform = fleet.fleet().platform();

        GroupRecord record = JsonMappers.create()
                .readValue(platform.read("groups/ledger").orElseThrow().value(), GroupRecord.class);
        Configuration published = JsonMappers.create()
                .readValue(platform.read("configuration/current").orElseThrow().value(), Configuration.class);

        assertThat(record)
                .isEqualTo(new GroupRecord(
                        Term.of(1),
                        FIRST,
                        GroupState.OPEN,
                        List.of(new TermStart(Term.of(1), 0)),
                        0,
                        "initial",
                        false,
                        Optional.empty()));
        assertThat(published).isEqualTo(fleet.fleet().configuration());
        assertThat(published.groups().get(GROUP).endpoint(THIRD).orElseThrow().address())
                .isEqualTo(fleet.endpoint(THIRD).address())
                .startsWith("127.0.3.")
                .doesNotEndWith(":0");
    }

    /** Guards against a cut that spares replication, clients or the platform, or that outlasts its end. */
    @Test
    void cutSilencesEachLinkAcrossIt() throws Exception {
        EndpointConnection inside = fleet.connect(FIRST);
        fleet.fleet().cutOff(Set.of(FailureDomain.of("domain-1")));

        fleet.write(ADD).on(inside);

        assertThat(fleet.tryConnect(SECOND, SHORT).getLeft().kind()).isEqualTo(ErrorKind.NO_ELIGIBLE_ENDPOINT);
        assertThat(fleet.fleet().platform().faults().silentBlocks()).containsExactly(1);
        assertThat(fleet.value(FIRST, "a")).contains("1");
        assertThat(fleet.value(SECOND, "a")).isEmpty();

        fleet.fleet().reconnect();

        until(() ->
                fleet.value(SECOND, "a").isPresent() && fleet.value(THIRD, "a").isPresent());
        assertThat(fleet.tryConnect(SECOND, PATIENCE).isRight()).isTrue();
        assertThat(fleet.fleet().platform().faults().silentBlocks()).isEmpty();
    }

    /** Guards against fault controls that answer without effect. */
    @Test
    void faultsComeInOverHttp() throws Exception {
        EndpointConnection connection = fleet.connect(FIRST);

        assertThat(post("/endpoints/ledger-1/faults", "{\"action\":\"kill\"}")).isEqualTo(200);
        until(() -> !connection.open());
        assertThat(post("/endpoints/ledger-1/faults", "{\"action\":\"restart\"}"))
                .isEqualTo(200);
        assertThat(fleet.tryConnect(FIRST, PATIENCE).isRight()).isTrue();
        assertThat(post("/endpoints/ledger-2/faults", "{\"action\":\"stopReplication\"}"))
                .isEqualTo(200);
        fleet.write(ADD).on(fleet.connect(FIRST));
        until(() -> fleet.value(THIRD, "a").isPresent());
        assertThat(fleet.value(SECOND, "a")).isEmpty();
        assertThat(post("/cut", "{\"failureDomains\":[\"domain-2\"]}")).isEqualTo(200);
        assertThat(fleet.fleet().platform().faults().silentBlocks()).containsExactly(2);

        assertThat(post("/endpoints/ledger-1/faults", "{\"action\":\"melt\"}")).isEqualTo(400);
        assertThat(post("/endpoints/other/faults", "{\"action\":\"kill\"}")).isEqualTo(400);
        assertThat(post("/other", "{}")).isEqualTo(404);
    }

    private int post(String path, String body) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://" + fleet.fleet().controlAddress() + path))
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return HttpClient.newHttpClient()
                .send(request, HttpResponse.BodyHandlers.discarding())
                .statusCode();
    }

    /** Guards against a history that counts writes of replicas or of rolled-back transactions, or misses a term. */
    @Test
    void recorderKeepsCommittedWritesAndTerms() throws Exception {
        EndpointConnection connection = fleet.connect(FIRST);
        fleet.write("[{'op':'put','key':'a','value':'x'}]").on(connection);
        fleet.write(ADD.replace("'a'", "'b'")).step(TransactionStep.BEGIN).on(connection);
        fleet.write("[]").step(TransactionStep.ROLLBACK).on(connection);
        until(() -> fleet.value(SECOND, "a").isPresent());
        await(fleet.connect(SECOND).promote(Term.of(2), 1, PATIENCE));

        EndpointHistoryRecorder recorder = new EndpointHistoryRecorder(Instant.EPOCH);
        fleet.events(HistoryEvent.class).forEach(recorder::record);

        assertThat(recorder.writes()).singleElement().satisfies(write -> {
            assertThat(write.value()).isEqualTo("x");
            assertThat(write.endpoint()).isEqualTo(FIRST);
            assertThat(write.point()).isEqualTo(LogPoint.of(1, 1));
        });
        assertThat(recorder.openings((group, term) -> true)).singleElement().satisfies(opening -> {
            assertThat(opening.term()).isEqualTo(Term.of(2));
            assertThat(opening.startPosition()).isEqualTo(1);
            assertThat(opening).extracting(TermOpening::planned).isEqualTo(true);
        });
    }
}
