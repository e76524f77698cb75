package org.lavenderwick.core.scheduling;

import java.util.List;
import java.util.function.Consumer;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Replays loads of deployment A. A failure means that the policy earns less than the rules that it replaced. */
class ReplayTest {

    private static final int SECONDS = 16;

    /** Largest loss of the others in a flood, as stated in docs/design/accounts-and-load.md. */
    private static final double FLOOD_LOSS = 0.05;

    private static double compare(String name, Load load) {
        List<Load.Call> calls = load.calls();
        Replay.Result policy = new Replay(new SchedulerPolicy()).run(calls);
        Replay.Result baseline = new Replay(new BaselinePolicy()).run(calls);
        System.out.printf("%s: bound %.4f, policy %s, baseline %s%n", name, HindsightBound.of(calls), policy, baseline);
        assertThat(policy.part()).isGreaterThanOrEqualTo(baseline.part());
        return policy.part();
    }

    private static Load usual(int lagMs, double leaving) {
        Load load = new Load(7);
        load.lagMs = lagMs;
        load.leaving = leaving;
        return load.add(0, SECONDS, 1, "");
    }

    @Nested
    class NotBelowTheBaseline {

        @ParameterizedTest
        @CsvSource({"1.7, 40", "1.7, 110", "2.6, 40", "2.6, 75", "2.6, 110"})
        void inABurstWithReplicasBehind(double factor, int timesBehind) {
            compare(
                    "burst " + factor + ", replicas " + timesBehind + " times behind",
                    usual(30 * timesBehind, 0).add(4, 10, factor - 1, ""));
        }

        @Test
        void withAHotAccount() {
            compare("hot account", usual(3300, 0).add(4, 12, 6.5, "a0"));
        }

        @Test
        void withCallersThatLeave() {
            compare("20 % leave at half of the target", usual(3300, 0.2).add(4, 10, 1, ""));
        }

        @Test
        void withIdleTransactions() {
            compare(
                    "120 idle transactions",
                    usual(3300, 0).addTransactions(20, SECONDS - 2).add(4, 10, 0.7, ""));
        }

        @Test
        void whenAllReturnAtOnce() {
            compare("return of all at once", usual(30, 0).add(5, 5.1, 37, ""));
        }

        @Test
        void withoutContention() {
            assertThat(compare("usual load", usual(30, 0))).isEqualTo(1);
        }
    }

    @Nested
    class Floods {

        @ParameterizedTest
        @ValueSource(strings = {"a3", "d10", "z1"})
        void leaveTheOthersWhatTheyHave(String flooding) {
            check(flooding, true, load -> load.add(3, 13, 12, flooding));
        }

        @ParameterizedTest
        @ValueSource(strings = {"d10", "z1"})
        void leaveTheOthersWhatTheyHaveWithoutAccounts(String flooding) {
            check(flooding, false, load -> load.add(3, 13, 12, flooding));
        }

        private void check(String flooding, boolean accounts, Consumer<Load> flood) {
            double[] parts = new double[2];
            for (int run = 0; run < 2; run++) {
                Load load = new Load(7);
                load.accounts = accounts;
                load.lagMs = 3300;
                load.add(0, SECONDS, 1, "");
                if (run == 1) {
                    flood.accept(load);
                }
                load.uncount(flooding);
                parts[run] = compare((run == 0 ? "before the flood of " : "flood of ") + flooding, load);
            }
            assertThat(parts[1]).isGreaterThanOrEqualTo(parts[0] - FLOOD_LOSS);
        }
    }
}
