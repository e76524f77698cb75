package org.lavenderwick.daemon.session;

import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lavenderwick.core.catalog.RouteOrigin;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.platform.LineCallerCodec;

import static org.assertj.core.api.Assertions.assertThat;

class RelayProtocolTest {

    private static final RouteOrigin ORIGIN = new RouteOrigin(17, GroupName.of("g"));

    @ParameterizedTest
    @ValueSource(strings = {"CONNECT orders me", "CONNECT orders me RELAY 3 x", "CONNECT orders me and more"})
    void openingKeepsTheLineOfTheCaller(String line) {
        assertThat(RelayProtocol.parse(RelayProtocol.format(line, ORIGIN)))
                .isEqualTo(new RelayProtocol.Opening(line, Optional.of(ORIGIN)));
    }

    /** Guards against an upgrade in which daemons of the earlier version cannot serve what newer ones relay. */
    @Test
    void daemonOfAnEarlierVersionTakesTheOpeningForAPlainConnect() {
        assertThat(new LineCallerCodec().parse(RelayProtocol.format("CONNECT orders me", ORIGIN)))
                .isEqualTo(new LineCallerCodec().parse("CONNECT orders me"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"CONNECT orders me", "", "RELAY 1 g", "x RELAY 99999999999999999999 g", "x RELAY -1 g"})
    void otherLinesHaveNoOrigin(String line) {
        assertThat(RelayProtocol.parse(line)).isEqualTo(new RelayProtocol.Opening(line, Optional.empty()));
    }
}
