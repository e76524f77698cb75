package org.lavenderwick.core.ratelimit;

import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.lavenderwick.core.account.AccountName;
import org.lavenderwick.core.account.RateLimit;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks in simulated time that no window of an account holds more operations than its bound, whatever fails, and that
 * each safeguard is needed for that.
 */
class RateLimitBoundTest {

    private static final AccountName ACCOUNT = LimitSimulation.ACCOUNT;
    private static final double[] RATES = {0.5, 1.3, 8, 30, 80, 245};
    private static final int DEFAULT_SEEDS = 1000;
    private static final int FOCUSED_SEEDS = 40;
    private static final long END = 30_000;

    private static RateLimit randomLimit(Random random) {
        double rate = RATES[random.nextInt(RATES.length)];
        return new RateLimit(rate, rate * (0.2 + random.nextDouble()));
    }

    private static LimitSimulation run(long seed) {
        Random random = new Random(seed);
        RateLimit limit = randomLimit(random);
        LimitSimulation fleet = new LimitSimulation(seed, 6 + random.nextInt(4), Map.of(ACCOUNT, limit));
        boolean together = random.nextBoolean();
        for (int index = 0; index < fleet.hosts.size(); index++) {
            // Hosts with an old grantor stay without operations, so that no asker is behind.
            if (random.nextInt(6) > 0) {
                load(fleet, random, index, limit, together);
            } else {
                fleet.hosts.get(index).staleGrantor = true;
            }
        }
        for (int fault = 0; fault < 6; fault++) {
            long at = random.nextInt((int) END);
            fleet.at(at, () -> inject(fleet, random, at));
        }
        fleet.run(END);
        return fleet;
    }

    private static void load(LimitSimulation fleet, Random random, int host, RateLimit limit, boolean together) {
        for (long from = 0; from < END; from += 4000) {
            // Hosts that start and stop together empty what they hold and what grantors have at the same time.
            double share = together ? from / 4000 % 2 * 6 : random.nextInt(3) == 0 ? 3.0 : random.nextInt(2);
            double perSecond = share * (limit.perSecond() + 2) / fleet.hosts.size();
            if (perSecond > 0) {
                fleet.load(ACCOUNT, host, perSecond, from, from + 4000);
            }
        }
    }

    private static void inject(LimitSimulation fleet, Random random, long at) {
        LimitSimulation.Host host = fleet.hosts.get(random.nextInt(fleet.hosts.size()));
        int length = 500 + random.nextInt(10_000);
        switch (random.nextInt(13)) {
            case 0 -> {
                host.kill();
                fleet.at(at + length / 5, () -> host.start(0));
            }
            case 1 -> {
                host.kill();
                host.start(300);
                fleet.at(at + 300 + random.nextInt(4000), () -> {
                    host.kill();
                    host.start(300);
                });
            }
            case 2 -> host.pause(length);
            case 3 -> host.suspend(length);
            case 4 -> fleet.revokeLease(host);
            case 5 -> {
                fleet.setStoreDown(true);
                fleet.at(at + length, () -> fleet.setStoreDown(false));
            }
            case 6 -> {
                host.refuseStore(true);
                fleet.at(at + 2L * length, () -> host.refuseStore(false));
            }
            case 7 -> {
                fleet.copyStore();
                fleet.at(at + length, fleet::restoreStore);
            }
            case 8 -> {
                int cut = random.nextInt(fleet.hosts.size()) * 1000 + random.nextInt(fleet.hosts.size());
                fleet.cutLinks.add(cut);
                fleet.at(at + length, () -> fleet.cutLinks.remove(cut));
            }
            case 9 -> fleet.loseLeaseUnnoticed(host, length);
            case 10 -> fleet.isolate(host, length);
            case 11 -> fleet.configure(Map.of(ACCOUNT, randomLimit(random)));
            default ->
                fleet.hosts.forEach(each -> {
                    each.kill();
                    each.start(random.nextInt(1000));
                });
        }
    }

    @Test
    void noWindowExceedsItsBoundWhateverFails() {
        int seeds = Integer.getInteger("lavenderwick.ratelimit.seeds", DEFAULT_SEEDS);
        Optional<String> excess = IntStream.range(0, seeds)
                .parallel()
                .mapToObj(seed -> run(seed).excess().map(text -> "seed " + seed + ", " + text))
                .flatMap(Optional::stream)
                .findFirst();
        assertThat(excess).isEmpty();
    }

    /** A run in which one safeguard matters: its loads and faults come at the moments that need it. */
    private static LimitSimulation runFocused(long seed, LimitSimulation.Safeguard safeguard, boolean disabled) {
        Random random = new Random(seed);
        RateLimit limit = new RateLimit(245, 40);
        LimitSimulation fleet = new LimitSimulation(seed, 6 + random.nextInt(4), Map.of(ACCOUNT, limit));
        if (disabled) {
            fleet.disabled.add(safeguard);
        }
        for (int index = 0; index < fleet.hosts.size(); index++) {
            fleet.load(ACCOUNT, index, 3 * limit.perSecond() / fleet.hosts.size(), 9000, END);
        }
        if (safeguard == LimitSimulation.Safeguard.VERSION_CHECK) {
            fleet.hosts.forEach(host -> host.staleGrantor = random.nextBoolean());
            fleet.at(12_000, () -> fleet.configure(Map.of(ACCOUNT, new RateLimit(10, 10))));
        } else {
            fleet.at(12_000, () -> fleet.loseLeaseUnnoticed(fleet.hosts.get(random.nextInt(PartId.PARTS)), 20_000));
        }
        fleet.run(END);
        return fleet;
    }

    /** The expiry of permits is checked in {@link PermitAskerTest}: no simulated run was found that needs it. */
    @ParameterizedTest
    @EnumSource(LimitSimulation.Safeguard.class)
    void excessIsFoundExactlyWithoutTheSafeguard(LimitSimulation.Safeguard safeguard) {
        assertThat(excessesOfFocusedRuns(safeguard, false)).isZero();
        assertThat(excessesOfFocusedRuns(safeguard, true)).isPositive();
    }

    private static long excessesOfFocusedRuns(LimitSimulation.Safeguard safeguard, boolean disabled) {
        return IntStream.range(0, FOCUSED_SEEDS)
                .parallel()
                .filter(seed -> runFocused(seed, safeguard, disabled).excess().isPresent())
                .count();
    }

    /** Guards against permits that are bound to a grantor or expire unused while operations are rejected. */
    @ParameterizedTest
    @CsvSource({"1.3,1", "1.3,7", "20,1", "20,2", "20,7", "245,1", "245,7", "245,9"})
    void nearlyTheWholeLimitIsUsable(double rate, int starters) {
        LimitSimulation fleet = new LimitSimulation(1, 9, Map.of(ACCOUNT, new RateLimit(rate, rate)));
        for (int index = 0; index < starters; index++) {
            fleet.load(ACCOUNT, index, 1.5 * rate / starters, 15_000, 215_000);
        }
        fleet.run(215_000);
        assertThat(fleet.started.get(ACCOUNT).size() / 200.0).isGreaterThan(0.95 * rate);
    }

    /** Guards against rejections below the limit, which callers pay for. */
    @ParameterizedTest
    @CsvSource({"1.3,7", "1.3,2", "20,7", "245,7"})
    void nothingIsRejectedAtTheUsualDemand(double rate, int starters) {
        LimitSimulation fleet = new LimitSimulation(2, 9, Map.of(ACCOUNT, new RateLimit(rate, rate)));
        for (int index = 0; index < starters; index++) {
            fleet.load(ACCOUNT, index, rate / 1.6 / starters, 15_000, 215_000);
        }
        fleet.run(215_000);
        assertThat(fleet.rejected.getOrDefault(ACCOUNT, 0L) / 200.0).isLessThan(0.005 * rate);
    }
}
