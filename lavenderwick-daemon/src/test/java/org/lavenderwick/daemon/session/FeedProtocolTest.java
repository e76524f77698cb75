package org.lavenderwick.daemon.session;

import java.net.InetSocketAddress;
import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lavenderwick.core.failover.LeaseConfirmation;

import static org.assertj.core.api.Assertions.assertThat;

class FeedProtocolTest {

    /** Guards against a line that daemons of earlier versions cannot read. */
    @Test
    void confirmationInTheFirstEraDoesNotNameTheEra() {
        String line = FeedProtocol.formatConfirmed(4, new LeaseConfirmation(1, 7, Duration.ofMillis(19)));
        assertThat(line).isEqualTo("CONFIRMED 4 7 20");
        assertThat(FeedProtocol.parseConfirmed(line).get().confirmation())
                .isEqualTo(new LeaseConfirmation(1, 7, Duration.ofMillis(20)));
    }

    @Test
    void confirmationInALaterEraIsReadBack() {
        String line = FeedProtocol.formatConfirmed(4, new LeaseConfirmation(3, 7, Duration.ofMillis(19)));
        assertThat(FeedProtocol.parseConfirmed(line))
                .contains(new FeedProtocol.Confirmed(4, new LeaseConfirmation(3, 7, Duration.ofMillis(20))));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "CONFIRMED 4 7",
                "CONFIRMED 4 7 -1",
                "CONFIRMED 4 3 7 -1",
                "CONFIRMED 4 3 7 20 1",
                "CONFIRMED x 7 1"
            })
    void malformedConfirmationIsRejected(String line) {
        assertThat(FeedProtocol.parseConfirmed(line)).isEmpty();
    }

    /** Guards against an age that rounding makes younger each time it is passed on. */
    @Test
    void answerToAProbeRoundsTheAgeUp() {
        String line = FeedProtocol.formatProbed(4, 17, Duration.ofMillis(19));
        assertThat(line).isEqualTo("PROBED 4 17 20");
        assertThat(FeedProtocol.parseProbed(line))
                .contains(new FeedProtocol.Probed(4, new FeedProtocol.BatchEnd(17, Duration.ofMillis(20))));
    }

    @ParameterizedTest
    @ValueSource(strings = {"PROBED 4 17", "PROBED 4 17 -1", "PROBED x 17 1", "PROBE 4"})
    void malformedAnswerToAProbeIsRejected(String line) {
        assertThat(FeedProtocol.parseProbed(line)).isEmpty();
    }

    @Test
    void offerIsReadBack() {
        InetSocketAddress address = new InetSocketAddress("10.1.0.8", 7440);
        String line = FeedProtocol.formatOffer(address);
        assertThat(line).isEqualTo("OFFER 10.1.0.8:7440");
        assertThat(FeedProtocol.parseOffer(line)).contains(address);
    }

    @ParameterizedTest
    @ValueSource(strings = {"OFFER", "OFFER ", "OFFER 10.1.0.8", "OFFER host:7440", "10.1.0.8:7440"})
    void malformedOfferIsRejected(String line) {
        assertThat(FeedProtocol.parseOffer(line)).isEmpty();
    }
}
