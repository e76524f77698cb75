package org.lavenderwick.daemon;

import java.io.IOException;
import java.net.ConnectException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lavenderwick.platform.standin.OperatorStandin;
import org.lavenderwick.platform.standin.SessionClient;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/** Stops daemons whose sessions are in use, over real sockets. The stop time of a daemon is 6 s. */
class SessionStopTest {

    private static final int SESSIONS = 9;
    private static final Duration LONGEST_WORK = Duration.ofMillis(300);
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private SessionFleet fleet;

    @AfterEach
    void stopFleet() {
        fleet.close();
    }

    private static void end(SessionFleet.Member member) throws InterruptedException {
        member.daemon().stop();
        member.daemon().close();
    }

    /** Returns the responses to requests that follow each other without a pause, up to the first rejected one. */
    private static List<List<String>> useWithoutPause(SessionFleet.Member member, String... statements) {
        List<List<String>> responses = new ArrayList<>();
        try (SessionClient client = SessionClient.open(member.address(), SessionFleet.DATABASE)) {
            for (int number = 0; responses.isEmpty() || !isEnd(last(responses).get(0)); number++) {
                responses.add(client.query(statements[number % statements.length]));
            }
        } catch (IOException e) {
            responses.add(List.of("closed"));
        }
        return responses;
    }

    private static <T> T last(List<T> list) {
        return list.get(list.size() - 1);
    }

    private static List<CompletableFuture<List<List<String>>>> startSessions(
            SessionFleet.Member member, String... statements) {
        List<CompletableFuture<List<List<String>>>> sessions = new ArrayList<>();
        for (int number = 0; number < SESSIONS; number++) {
            CompletableFuture<List<List<String>>> session = new CompletableFuture<>();
            new Thread(() -> session.complete(useWithoutPause(member, statements))).start();
            sessions.add(session);
        }
        return sessions;
    }

    /** Checks that each session got complete responses, and that the one that ended it matches. */
    private static void assertAnswered(
            List<CompletableFuture<List<List<String>>>> sessions, Predicate<String> lastAnswer) throws Exception {
        for (CompletableFuture<List<List<String>>> session : sessions) {
            List<List<String>> responses = session.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
            assertThat(responses)
                    .allSatisfy(response -> assertThat(last(response)).startsWith("READY "));
            assertThat(last(responses).get(0)).matches(lastAnswer);
        }
    }

    private static boolean isEnd(String answer) {
        return answer.startsWith("ERROR ") || answer.equals("closed");
    }

    private static boolean isRejection(String answer) {
        return answer.startsWith("ERROR BUSY");
    }

    private static boolean isAbort(String answer) {
        return answer.startsWith("ERROR ABORTED");
    }

    @Nested
    class OneDaemon {

        private SessionFleet.Member member;

        @BeforeEach
        void start() throws Exception {
            fleet = new SessionFleet();
            OperatorStandin.configure(fleet.store(), 1, SessionFleet.DATABASE, "primary", SessionFleet.GROUP, 20_000);
            member = fleet.startDaemon();
        }

        /** Guards against sessions that are never idle at a tick and are cut when the process ends. */
        @Test
        void sessionWithoutPausesEndsWithARejection() throws Exception {
            fleet.database().work(LONGEST_WORK);
            List<CompletableFuture<List<List<String>>>> sessions = startSessions(member, "READ a");
            end(member);
            assertAnswered(sessions, SessionStopTest::isRejection);
        }

        /** Guards against a write that its caller cannot repeat, because its session is closed without an answer. */
        @Test
        void writesWithoutPausesEndWithARejection() throws Exception {
            List<CompletableFuture<List<List<String>>>> sessions = startSessions(member, "WRITE a 1");
            end(member);
            assertAnswered(sessions, SessionStopTest::isRejection);
        }

        /** Guards against transactions that no tick finds without a running statement. */
        @Test
        void transactionWithoutPausesIsRolledBack() throws Exception {
            List<CompletableFuture<List<List<String>>>> sessions = startSessions(
                    member, "BEGIN", "READ a", "READ b", "READ c", "READ d", "READ e", "READ f", "COMMIT");
            end(member);
            assertAnswered(sessions, answer -> isAbort(answer) || isRejection(answer));
        }

        /** Guards against a daemon that passes on the requests of sessions that arrive after its decision to end. */
        @Test
        void sessionsThatArriveAfterTheEndAreRefused() throws Exception {
            member.daemon().stop();
            assertThatExceptionOfType(ConnectException.class)
                    .isThrownBy(() -> SessionClient.open(member.address(), SessionFleet.DATABASE));
        }

        /** Guards against a caller that is not told what is known of a statement that outlasts the daemon. */
        @ParameterizedTest
        @CsvSource({"WRITE a 1, ERROR INDOUBT", "READ a, ERROR TIMEOUT"})
        void statementThatOutlastsTheDaemonIsAnswered(String statement, String answer) throws Exception {
            fleet.database().work(TIMEOUT);
            List<CompletableFuture<List<List<String>>>> sessions = startSessions(member, statement);
            Thread.sleep(500);
            end(member);
            assertAnswered(sessions, line -> line.startsWith(answer) || isRejection(line));
        }

        /** Guards against a session that is opened although none of its operations would be executed. */
        @Test
        void sessionThatIsOpenedLateIsRejected() throws Exception {
            try (SessionClient keepsDaemonRunning = fleet.openSession()) {
                keepsDaemonRunning.query("BEGIN");
                fleet.database().work(TIMEOUT);
                keepsDaemonRunning.send("QUERY q READ a");
                CompletableFuture<Void> ended = CompletableFuture.runAsync(() -> {
                    try {
                        end(member);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
                Thread.sleep(4000);
                try (SessionClient late = SessionClient.connect(member.address())) {
                    late.send("CONNECT " + SessionFleet.DATABASE + " me");
                    assertThat(late.line()).matches(SessionStopTest::isRejection);
                    assertThat(late.line()).isNull();
                }
                ended.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
            }
        }
    }

    /** Two daemons, one of which relays its sessions to the other. */
    @Nested
    class RelayedSessions {

        @BeforeEach
        void start() throws Exception {
            fleet = SessionFleet.withRelayingDaemon(20_000);
        }

        /** Guards against requests that are cut at either end of a relayed session. */
        @ParameterizedTest
        @ValueSource(ints = {0, 1})
        void requestsAreAnsweredIfTheirDaemonStops(int stopped) throws Exception {
            fleet.database().work(Duration.ofMillis(50));
            SessionFleet.Member member = fleet.members().get(stopped);
            List<CompletableFuture<List<List<String>>>> sessions = startSessions(member, "READ a");
            Thread.sleep(500);
            end(member);
            assertAnswered(sessions, SessionStopTest::isRejection);
        }

        /** Guards against a request that crosses the close of its idle session and is cut as if it might have run. */
        @Test
        void ownerThatClosesAnIdleSessionRejectsWhatIsOnItsWay() throws Exception {
            SessionFleet.Member member = fleet.members().get(0);
            try (SessionClient relaying = SessionClient.connect(member.peerAddress())) {
                relaying.send("CONNECT " + SessionFleet.DATABASE + " me RELAY 1 " + SessionFleet.GROUP);
                assertThat(relaying.answer()).singleElement().asString().startsWith("READY ");
                member.daemon().stop();
                assertThat(relaying.answer().get(0)).matches(SessionStopTest::isRejection);
            }
        }
    }
}
