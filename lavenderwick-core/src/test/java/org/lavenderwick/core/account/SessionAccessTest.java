package org.lavenderwick.core.account;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.lavenderwick.core.account.SessionAccess.Verdict;
import org.lavenderwick.core.error.ErrorKind;

import static org.assertj.core.api.Assertions.assertThat;

class SessionAccessTest {

    private static final Duration BOUND = Duration.ofSeconds(5);
    private static final Duration GRACE = Duration.ofMillis(500);
    private static final Duration START = Duration.ofSeconds(100);
    private static final KeyFingerprint KEY = KeyFingerprint.ofKey("k");
    private static final AccountName A = AccountName.of("a");
    private static final AccessRules NO_ACCOUNTS = new AccessRules(AccountDirectory.EMPTY, false);
    private static final AccessRules KEY_OF_A = rules(Optional.of("a"), false);
    private static final AccessRules KEY_OF_B = rules(Optional.of("b"), false);
    private static final AccessRules WITHDRAWN = rules(Optional.empty(), false);
    private static final AccessRules PUBLIC = rules(Optional.empty(), true);

    /** Returns rules with the accounts a and b, of which one may hold the key. */
    private static AccessRules rules(Optional<String> holder, boolean isPublic) {
        List<ClientAccount> accounts = new ArrayList<>();
        for (String name : List.of("a", "b")) {
            Set<KeyFingerprint> keys = holder.equals(Optional.of(name)) ? Set.of(KEY) : Set.of();
            accounts.add(new ClientAccount(AccountName.of(name), 0, Optional.empty(), keys));
        }
        return new AccessRules(AccountDirectory.of(accounts), isPublic);
    }

    private final SessionAccess access = SessionAccess.of(KEY, BOUND);

    private Verdict check(AccessRules rules, boolean inTransaction, Duration sinceStart) {
        return access.check(rules, inTransaction, START.plus(sinceStart));
    }

    @Nested
    class Opening {

        @Test
        void keyOfAnAccountOpensTheSession() {
            assertThat(access.open(KEY_OF_A)).isEmpty();
            assertThat(access.account()).contains(A);
        }

        @Test
        void unknownKeyIsRejected() {
            assertThat(access.open(WITHDRAWN).orElseThrow().kind()).isEqualTo(ErrorKind.UNAUTHORIZED);
        }

        @Test
        void publicDatabasesAndConfigurationsWithoutAccountsNeedNoKey() {
            assertThat(access.open(PUBLIC)).isEmpty();
            assertThat(access.open(NO_ACCOUNTS)).isEmpty();
            assertThat(access.account()).isEmpty();
        }
    }

    @Nested
    class Withdrawal {

        @Test
        void sessionOutsideOfATransactionEndsAtOnce() {
            access.open(KEY_OF_A);
            assertThat(check(WITHDRAWN, false, Duration.ZERO)).isEqualTo(Verdict.END);
        }

        @Test
        void openTransactionMayFinishWithinTheGrace() {
            access.open(KEY_OF_A);
            assertThat(check(WITHDRAWN, true, Duration.ZERO)).isEqualTo(Verdict.FINISH_TRANSACTION);
            assertThat(check(WITHDRAWN, true, GRACE.minusMillis(1))).isEqualTo(Verdict.FINISH_TRANSACTION);
            assertThat(check(WITHDRAWN, true, GRACE)).isEqualTo(Verdict.ROLL_BACK);
            assertThat(check(WITHDRAWN, false, GRACE)).isEqualTo(Verdict.END);
        }

        /** Guards against a session that uses the connections and permits of an account that lost its key. */
        @Test
        void keyThatMovesToAnotherAccountEndsTheSession() {
            access.open(KEY_OF_A);
            assertThat(check(KEY_OF_B, false, Duration.ZERO)).isEqualTo(Verdict.END);
        }

        @Test
        void keyThatIsValidAgainIsAccepted() {
            access.open(KEY_OF_A);
            check(WITHDRAWN, true, Duration.ZERO);
            assertThat(check(KEY_OF_A, true, GRACE)).isEqualTo(Verdict.GRANTED);
            assertThat(check(WITHDRAWN, true, GRACE.plusMillis(1))).isEqualTo(Verdict.FINISH_TRANSACTION);
        }
    }

    /** Guards against sessions with valid keys that are closed when operators introduce accounts. */
    @Test
    void sessionWithoutAnAccountGoesOnUnderTheAccountOfItsKey() {
        access.open(NO_ACCOUNTS);
        assertThat(check(KEY_OF_A, true, Duration.ZERO)).isEqualTo(Verdict.FINISH_TRANSACTION);
        assertThat(access.account()).isEmpty();
        assertThat(check(KEY_OF_A, false, Duration.ZERO)).isEqualTo(Verdict.GRANTED);
        assertThat(access.account()).contains(A);
        assertThat(check(PUBLIC, false, Duration.ZERO)).isEqualTo(Verdict.GRANTED);
        assertThat(access.account()).isEmpty();
    }

    @Test
    void changesOfKeysAreListedWithTheirAccounts() {
        assertThat(KeyChange.between(KEY_OF_A.accounts(), KEY_OF_B.accounts()))
                .containsExactly(new KeyChange(KEY, A, false), new KeyChange(KEY, AccountName.of("b"), true));
        assertThat(KeyChange.between(KEY_OF_A.accounts(), KEY_OF_A.accounts())).isEmpty();
    }

    /** Sessions under many versions of the configuration, checked against a record of what each version grants. */
    @Nested
    class ManyVersions {

        private static final int VERSIONS = 300;

        static IntStream seeds() {
            return IntStream.range(0, 200);
        }

        /**
         * Guards against anything that runs for a key that was withdrawn, other than the rest of a transaction within
         * its grace, and against a rejection of a key that is valid for the account of the session.
         */
        @ParameterizedTest
        @MethodSource("org.lavenderwick.core.account.SessionAccessTest$ManyVersions#seeds")
        void nothingRunsForAWithdrawnKeyAndNoValidKeyIsRejected(int seed) {
            Random random = new Random(seed);
            List<AccessRules> possible = List.of(NO_ACCOUNTS, KEY_OF_A, KEY_OF_A, KEY_OF_B, WITHDRAWN, PUBLIC);
            SessionAccess session = null;
            boolean inTransaction = false;
            Optional<AccountName> transactionAccount = Optional.empty();
            Optional<Duration> lostSince = Optional.empty();
            Duration now = START;
            AccessRules rules = KEY_OF_A;
            for (int step = 0; step < VERSIONS * 4; step++) {
                now = now.plusMillis(random.nextInt(200));
                if (random.nextInt(4) == 0) {
                    rules = possible.get(random.nextInt(possible.size()));
                }
                Optional<AccountName> granted = rules.grant(KEY).getOrElse(Optional.empty());
                boolean valid = rules.grant(KEY).isRight();
                if (session == null) {
                    session = SessionAccess.of(KEY, BOUND);
                    assertThat(session.open(rules).isEmpty()).isEqualTo(valid);
                    session = valid ? session : null;
                    continue;
                }
                boolean covered = valid && granted.equals(transactionAccount);
                lostSince = inTransaction && !covered ? Optional.of(lostSince.orElse(now)) : Optional.empty();
                Optional<AccountName> before = session.account();
                Verdict verdict = session.check(rules, inTransaction, now);
                if (inTransaction) {
                    Verdict expected = covered
                            ? Verdict.GRANTED
                            : now.minus(lostSince.get()).compareTo(GRACE) < 0
                                    ? Verdict.FINISH_TRANSACTION
                                    : Verdict.ROLL_BACK;
                    assertThat(verdict).isEqualTo(expected);
                    inTransaction = verdict != Verdict.ROLL_BACK && random.nextInt(6) > 0;
                } else {
                    boolean moved = before.isPresent() && granted.isPresent() && !granted.equals(before);
                    assertThat(verdict).isEqualTo(valid && !moved ? Verdict.GRANTED : Verdict.END);
                    inTransaction = verdict == Verdict.GRANTED && random.nextBoolean();
                    transactionAccount = session.account();
                    assertThat(verdict == Verdict.END || transactionAccount.equals(granted))
                            .isTrue();
                    session = verdict == Verdict.END ? null : session;
                }
            }
        }
    }
}
