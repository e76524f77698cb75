package org.lavenderwick.core.statement;

import java.util.Optional;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lavenderwick.core.admission.Access;

import static org.assertj.core.api.Assertions.assertThat;

class ConnectionContextTest {

    private static final PreparedStatement READ = new PreparedStatement(Access.READ, "shape");

    private final ConnectionContext connection = ConnectionContext.create();
    private final SessionContext session = SessionContext.create();

    @Nested
    class Variables {

        @Test
        void areSetOnce() {
            session.setVariable("zone", "a");
            assertThat(connection.switchTo(session, Optional.empty(), true))
                    .containsExactly(new SetupStep.SetVariable("zone", "a"));
            assertThat(connection.switchTo(session, Optional.empty(), true)).isEmpty();
        }

        @Test
        void ofAnotherSessionAreCleared() {
            SessionContext other = SessionContext.create();
            other.setVariable("zone", "a");
            connection.switchTo(other, Optional.empty(), true);
            session.setVariable("locale", "b");
            assertThat(connection.switchTo(session, Optional.empty(), true))
                    .containsExactly(new SetupStep.Reset(), new SetupStep.SetVariable("locale", "b"));
        }

        @Test
        void ofAnotherSessionAreOverwrittenWithoutReset() {
            SessionContext other = SessionContext.create();
            other.setVariable("zone", "a");
            connection.switchTo(other, Optional.empty(), true);
            session.setVariable("zone", "b");
            assertThat(connection.switchTo(session, Optional.empty(), true))
                    .containsExactly(new SetupStep.SetVariable("zone", "b"));
        }

        @Test
        void areNeverClearedWithinATransaction() {
            for (int index = 0; index < 200; index++) {
                connection.switchTo(session, Optional.of(new PreparedStatement(Access.READ, "s" + index)), false);
            }
            assertThat(connection.switchTo(session, Optional.of(READ), false))
                    .noneMatch(step -> step instanceof SetupStep.Reset);
        }
    }

    @Nested
    class Prepared {

        @Test
        void statementsWithEqualTextShareOneName() {
            connection.switchTo(session, Optional.of(READ), true);
            assertThat(connection.switchTo(SessionContext.create(), Optional.of(READ), true))
                    .isEmpty();
        }

        @Test
        void readAndWriteWithEqualTextHaveDifferentNames() {
            PreparedStatement write = new PreparedStatement(Access.WRITE, "shape");
            connection.switchTo(session, Optional.of(READ), true);
            connection.switchTo(session, Optional.of(write), true);
            assertThat(connection.nameOf(READ)).isNotEqualTo(connection.nameOf(write));
        }

        @Test
        void statementRemovedByTheEndpointIsPreparedAgainUnderANewName() {
            connection.switchTo(session, Optional.of(READ), true);
            Optional<String> previousName = connection.nameOf(READ);
            connection.remove(READ);
            assertThat(connection.switchTo(session, Optional.of(READ), true)).hasSize(1);
            assertThat(connection.nameOf(READ)).isNotEqualTo(previousName);
        }

        @Test
        void statementsAreLimitedInNumber() {
            for (int index = 0; index < 128; index++) {
                connection.switchTo(session, Optional.of(new PreparedStatement(Access.READ, "s" + index)), true);
            }
            assertThat(connection.switchTo(session, Optional.of(READ), true)).contains(new SetupStep.Reset());
        }
    }

    @Nested
    class Sessions {

        @Test
        void holdALimitedNumberOfVariables() {
            for (int index = 0; index < SessionContext.MAX_ENTRIES; index++) {
                assertThat(session.setVariable("v" + index, "x")).isTrue();
            }
            assertThat(session.setVariable("one more", "x")).isFalse();
            assertThat(session.setVariable("v0", "y")).isTrue();
        }
    }
}
