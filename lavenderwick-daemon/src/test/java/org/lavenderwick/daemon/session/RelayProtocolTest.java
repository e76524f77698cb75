package org.lavenderwick.daemon.session;

import java.util.Optional;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lavenderwick.adapters.session.CallerMessage;
import org.lavenderwick.core.account.AccountName;
import org.lavenderwick.core.account.KeyFingerprint;
import org.lavenderwick.core.catalog.RouteOrigin;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.platform.LineCallerCodec;

import static org.assertj.core.api.Assertions.assertThat;

class RelayProtocolTest {

    private static final RouteOrigin ORIGIN = new RouteOrigin(17, GroupName.of("g"));

    /** Returns all that daemons of the earlier version read of a line that opens a session. */
    private static String database(String line) {
        return ((CallerMessage.Connect) new LineCallerCodec().parse(line).get()).database();
    }

    @ParameterizedTest
    @ValueSource(strings = {"CONNECT orders me", "CONNECT orders me RELAY 3 x", "CONNECT orders me and more"})
    void openingKeepsTheLineOfTheCaller(String line) {
        assertThat(RelayProtocol.parse(RelayProtocol.format(line, ORIGIN)))
                .isEqualTo(new RelayProtocol.Opening(line, Optional.of(ORIGIN), Optional.empty()));
    }

    /** Guards against an upgrade in which daemons of the earlier version cannot serve what newer ones relay. */
    @Test
    void daemonOfAnEarlierVersionTakesTheOpeningForAPlainConnect() {
        assertThat(database(RelayProtocol.format("CONNECT orders me", ORIGIN))).isEqualTo("orders");
    }

    @ParameterizedTest
    @ValueSource(strings = {"CONNECT orders me", "", "RELAY 1 g", "x RELAY 99999999999999999999 g", "x RELAY -1 g"})
    void otherLinesHaveNoOrigin(String line) {
        assertThat(RelayProtocol.parse(line))
                .isEqualTo(new RelayProtocol.Opening(line, Optional.empty(), Optional.empty()));
    }

    @Nested
    class UnderAConfigurationWithAccounts {

        private static final KeyFingerprint KEY = KeyFingerprint.ofKey("secret");

        /** Guards against an owner that cannot tell for whom a relayed session runs. */
        @ParameterizedTest
        @ValueSource(strings = {"a", "RELAY", "KEY"})
        void openingHasTheAccountAndTheFingerprint(String account) {
            RelayProtocol.RelayedKey key = new RelayProtocol.RelayedKey(KEY, Optional.of(AccountName.of(account)));
            assertThat(RelayProtocol.parse(RelayProtocol.format("CONNECT orders -", ORIGIN, key)))
                    .isEqualTo(new RelayProtocol.Opening("CONNECT orders -", Optional.of(ORIGIN), Optional.of(key)));
        }

        @Test
        void publicDatabaseHasNoAccount() {
            RelayProtocol.RelayedKey key = new RelayProtocol.RelayedKey(KEY, Optional.empty());
            assertThat(RelayProtocol.parse(RelayProtocol.format("CONNECT orders -", ORIGIN, key)))
                    .isEqualTo(new RelayProtocol.Opening("CONNECT orders -", Optional.of(ORIGIN), Optional.of(key)));
        }

        /** Guards against a caller that adds the end of such a line to its own key and is taken for another account. */
        @Test
        void callerCannotForgeAnAccount() {
            String forged = "CONNECT orders x RELAY 99 g KEY " + KEY + " other";
            assertThat(RelayProtocol.parse(RelayProtocol.format(forged, ORIGIN)))
                    .isEqualTo(new RelayProtocol.Opening(forged, Optional.of(ORIGIN), Optional.empty()));
        }

        /** Guards against an upgrade in which daemons of the earlier version cannot serve what newer ones relay. */
        @Test
        void daemonOfAnEarlierVersionTakesTheOpeningForAPlainConnect() {
            RelayProtocol.RelayedKey key = new RelayProtocol.RelayedKey(KEY, Optional.of(AccountName.of("a")));
            String line = RelayProtocol.format("CONNECT orders -", ORIGIN, key);
            assertThat(database(line)).isEqualTo("orders");
        }
    }
}
