package org.lavenderwick.daemon.session;

import java.time.Duration;
import java.util.Optional;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.slf4j.LoggerFactory;

import static org.assertj.core.api.Assertions.assertThat;

class RequestLogTest {

    private static final Duration START = Duration.ofSeconds(100);

    private final Logger logger = (Logger) LoggerFactory.getLogger(RequestLog.class);
    private final ListAppender<ILoggingEvent> logged = new ListAppender<>();
    private Duration now = START;
    private final RequestLog log = new RequestLog(group -> "no state known", () -> "configuration 5", () -> now);

    @BeforeEach
    void attachAppender() {
        logger.setLevel(Level.INFO);
        logged.start();
        logger.addAppender(logged);
    }

    @AfterEach
    void detachAppender() {
        logger.detachAppender(logged);
        logger.setLevel(null);
    }

    private void fail(String id, ErrorKind kind, Duration at) {
        now = at;
        log.logFailure(
                new RequestLog.Request(id, "orders", START), Optional.empty(), Failure.of(kind, "it could not be"));
    }

    private String loggedLine(int index) {
        return logged.list.get(index).getFormattedMessage();
    }

    @Test
    void logsIdDatabaseKindAndDetail() {
        fail("q1", ErrorKind.NO_ELIGIBLE_ENDPOINT, START.plusMillis(12));
        assertThat(loggedLine(0))
                .isEqualTo("[request] q1 of orders: NO_ELIGIBLE_ENDPOINT after 12 ms, as it could not be.");
    }

    /** Guards against a denied database of which nobody can tell how old the configuration was that lacked it. */
    @Test
    void failureThatFollowsFromTheConfigurationSaysWhichOne() {
        fail("q1", ErrorKind.UNKNOWN_GROUP, START);
        assertThat(loggedLine(0)).endsWith("as it could not be; configuration 5.");
    }

    @Test
    void limitsTheLinesOfEachKindAndReportsTheNumberOmitted() {
        for (int index = 0; index < RequestLog.MAX_BURST_LINES + 5; index++) {
            fail("q" + index, ErrorKind.NO_ELIGIBLE_ENDPOINT, START);
        }
        assertThat(logged.list).hasSize(RequestLog.MAX_BURST_LINES);

        fail("other", ErrorKind.OUTCOME_UNKNOWN, START);
        assertThat(loggedLine(RequestLog.MAX_BURST_LINES)).contains("other of orders: OUTCOME_UNKNOWN");

        fail("later", ErrorKind.NO_ELIGIBLE_ENDPOINT, START.plus(RequestLog.REFILL_INTERVAL));
        assertThat(loggedLine(RequestLog.MAX_BURST_LINES + 1))
                .contains("later of orders")
                .endsWith(", 5 alike not shown.");
    }
}
