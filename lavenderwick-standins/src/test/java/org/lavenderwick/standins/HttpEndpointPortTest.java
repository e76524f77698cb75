package org.lavenderwick.standins;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import io.vavr.control.Either;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lavenderwick.adapters.endpoint.EndpointConnection;
import org.lavenderwick.adapters.endpoint.EndpointReply;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lavenderwick.standins.TestFleet.FIRST;
import static org.lavenderwick.standins.TestFleet.SHORT;
import static org.lavenderwick.standins.TestFleet.await;
import static org.lavenderwick.standins.TestFleet.results;
import static org.lavenderwick.standins.TestFleet.until;

class HttpEndpointPortTest {

    private TestFleet fleet;

    @BeforeEach
    void start() {
        fleet = new TestFleet(EndpointOptions.DEFAULT);
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    @Nested
    class Answers {

        /** Guards against digits lost on the way through JSON trees. */
        @Test
        void valuesComeBackAsTheyWereSent() {
            EndpointConnection connection = fleet.connect(FIRST);

            fleet.write("[{'op':'put','key':'a','value':{'n':12345678901234567890.1230,'t':'\u00fc'}}]")
                    .on(connection);

            assertThat(results(fleet.read("[{'op':'get','key':'a'}]").on(connection)))
                    .isEqualTo("[{\"value\":{\"n\":12345678901234567890.1230,\"t\":\"\u00fc\"}}]");
        }

        /** Guards against a caller that receives the answer to another request. */
        @Test
        void answerWithAnotherIdEndsTheConnection() {
            EndpointConnection connection = fleet.connect(FIRST);
            fleet.endpoint(FIRST).injectAnswerFault(AnswerFault.STRAY_BEFORE, 1);

            assertUnknown(fleet.write("[{'op':'put','key':'a','value':1}]").on(connection), connection);
        }

        /** Guards against a late answer that is taken for the answer to the next request. */
        @Test
        void strayAnswerIsNeverTakenForTheNextOne() {
            EndpointConnection connection = fleet.connect(FIRST);
            fleet.endpoint(FIRST).injectAnswerFault(AnswerFault.STRAY_AFTER, 1);

            Either<Failure, EndpointReply> first =
                    fleet.write("[{'op':'put','key':'a','value':1}]").on(connection);
            Either<Failure, EndpointReply> second =
                    await(fleet.read("[{'op':'get','key':'a'}]").start(connection, SHORT));

            assertThat(results(first)).isEqualTo("[{\"value\":1}]");
            assertThat(second.isLeft()).isTrue();
            assertThat(connection.open()).isFalse();
        }

        /** Guards against half an answer that passes for a whole one. */
        @Test
        void answerCutShortIsUnknown() {
            EndpointConnection connection = fleet.connect(FIRST);
            fleet.endpoint(FIRST).injectAnswerFault(AnswerFault.CUT_SHORT, 1);

            assertUnknown(fleet.write("[{'op':'put','key':'a','value':1}]").on(connection), connection);
            assertThat(fleet.value(FIRST, "a")).contains("1");
        }

        /** Guards against a lost answer that is reported as not run although it took effect. */
        @Test
        void answerLostAfterEffectIsUnknown() {
            EndpointConnection connection = fleet.connect(FIRST);
            fleet.endpoint(FIRST).injectAnswerFault(AnswerFault.LOST, 1);

            assertUnknown(
                    await(fleet.write("[{'op':'put','key':'a','value':1}]").start(connection, SHORT)), connection);
            assertThat(fleet.value(FIRST, "a")).contains("1");
        }

        private void assertUnknown(Either<Failure, EndpointReply> reply, EndpointConnection connection) {
            assertThat(reply.getLeft().kind()).isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
            assertThat(connection.open()).isFalse();
        }
    }

    @Nested
    class Connections {

        /** Guards against a silent connection that stays in use. */
        @Test
        void silentConnectionIsFoundByTimeoutWhileNewOnesWork() {
            EndpointConnection silent = fleet.connect(FIRST);
            fleet.endpoint(FIRST).silenceOpenConnections();

            assertThat(await(silent.status(SHORT)).getLeft().kind()).isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
            assertThat(silent.open()).isFalse();
            assertThat(await(fleet.connect(FIRST).status(TestFleet.PATIENCE)).isRight())
                    .isTrue();
        }

        /** Guards against a request that is sent on a new connection behind the caller's back. */
        @Test
        void closedConnectionDoesNotRun() {
            EndpointConnection connection = fleet.connect(FIRST);
            connection.close();
            connection.close();

            assertThat(connection.open()).isFalse();
            assertThat(fleet.write("[{'op':'put','key':'a','value':1}]")
                            .on(connection)
                            .getLeft()
                            .kind())
                    .isEqualTo(ErrorKind.NO_ELIGIBLE_ENDPOINT);
            assertThat(fleet.value(FIRST, "a")).isEmpty();
        }

        /** Guards against an endpoint's death that goes unnoticed on idle connections. */
        @Test
        void deathOfTheEndpointClosesTheConnection() throws Exception {
            EndpointConnection connection = fleet.connect(FIRST);

            fleet.endpoint(FIRST).kill();

            until(() -> !connection.open());
            assertThat(fleet.tryConnect(FIRST, TestFleet.PATIENCE).getLeft().kind())
                    .isEqualTo(ErrorKind.NO_ELIGIBLE_ENDPOINT);
        }

        /** Guards against connections of the endpoint that nobody gives back after a failed attempt. */
        @Test
        void attemptThatTimesOutLeavesNoConnection() throws Exception {
            fleet.endpoint(FIRST).pause();

            assertThat(fleet.tryConnect(FIRST, SHORT).getLeft().kind()).isEqualTo(ErrorKind.NO_ELIGIBLE_ENDPOINT);
            fleet.endpoint(FIRST).resume();

            List<EndpointConnection> all = new ArrayList<>();
            for (int i = 0; i < TestFleet.CONNECTION_LIMIT; i++) {
                all.add(connectWhenFree());
            }
            assertThat(all).allMatch(EndpointConnection::open);
        }

        private EndpointConnection connectWhenFree() throws Exception {
            List<EndpointConnection> opened = new ArrayList<>();
            until(() -> fleet.tryConnect(FIRST, Duration.ofSeconds(5))
                    .peek(opened::add)
                    .isRight());
            return opened.get(0);
        }

        /** Guards against callers that wait for ever, and connections that stay, when the daemon stops. */
        @Test
        void closedPortEndsItsConnectionsAndCalls() throws Exception {
            EndpointConnection busy = fleet.connect(FIRST);
            EndpointConnection idle = fleet.connect(FIRST);
            fleet.endpoint(FIRST).answerDelay(TestFleet.PATIENCE);
            var running = fleet.write("[{'op':'put','key':'a','value':1}]").start(busy, TestFleet.PATIENCE);
            until(() -> fleet.value(FIRST, "a").isPresent());

            fleet.closePort();

            assertThat(await(running).getLeft().kind()).isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
            assertThat(await(idle.status(TestFleet.PATIENCE)).getLeft().kind())
                    .isEqualTo(ErrorKind.NO_ELIGIBLE_ENDPOINT);
            assertThat(fleet.tryConnect(FIRST, TestFleet.PATIENCE).getLeft().kind())
                    .isEqualTo(ErrorKind.NO_ELIGIBLE_ENDPOINT);
            until(() -> fleet.endpoint(FIRST).connections() <= 1);
        }

        /** Guards against two calls whose answers mix on one connection. */
        @Test
        void secondCallAtTheSameTimeDoesNotRun() {
            EndpointConnection connection = fleet.connect(FIRST);
            fleet.endpoint(FIRST).pause();
            var first = fleet.write("[{'op':'add','key':'a','amount':1}]").start(connection, TestFleet.PATIENCE);

            var second = fleet.write("[{'op':'add','key':'a','amount':1}]").on(connection);
            fleet.endpoint(FIRST).resume();

            assertThat(second.getLeft().kind()).isEqualTo(ErrorKind.NO_ELIGIBLE_ENDPOINT);
            assertThat(results(await(first))).isEqualTo("[{\"value\":1}]");
        }
    }
}
