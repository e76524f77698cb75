package org.lavenderwick.core.ratelimit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import com.google.common.collect.ImmutableSet;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lavenderwick.core.account.AccountDirectory;
import org.lavenderwick.core.account.AccountName;
import org.lavenderwick.core.account.ClientAccount;
import org.lavenderwick.core.account.RateLimit;

import static org.assertj.core.api.Assertions.assertThat;

class PermitAskerTest {

    private static final AccountName ACCOUNT = AccountName.of("acme");
    private static final PartId PART = new PartId(PartId.shardOf(ACCOUNT), 0);
    private static final Duration SENT = Duration.ofSeconds(100);

    private final List<PermitMessage.Request> requests = new ArrayList<>();
    private final List<String> decisions = new ArrayList<>();
    private final PermitAsker asker = new PermitAsker(requests::add, new Random(1));
    private Permit lastPermit;

    @BeforeEach
    void obtainTwoPermits() {
        configure(1, 10);
        asker.applyGrantors(Set.of(PART), Set.of(PART));
        acquire(SENT);
        respond(3, SENT.plusMillis(50));
        assertThat(decisions).containsExactly("granted");
        decisions.clear();
    }

    private void configure(long version, double perSecond) {
        asker.applyAccounts(
                AccountDirectory.of(List.of(new ClientAccount(
                        ACCOUNT, 0, Optional.of(new RateLimit(perSecond, perSecond)), ImmutableSet.of()))),
                version);
    }

    private void respond(long total, Duration now) {
        respond(requests.get(requests.size() - 1), total, now);
    }

    private void respond(PermitMessage.Request request, long total, Duration now) {
        PermitMessage.Granted granted = new PermitMessage.Granted(ACCOUNT, total, Duration.ZERO);
        asker.onResponse(
                PART,
                new PermitMessage.Response(
                        request.number(), PermitMessage.Status.GRANTED, PartSizes.LIFETIME, List.of(granted)),
                now);
    }

    private void acquire(Duration now) {
        asker.acquire(ACCOUNT, now, new PermitAsker.Callback() {
            @Override
            public void onGranted(Permit permit) {
                lastPermit = permit;
                decisions.add("granted");
            }

            @Override
            public void onRejected(Duration retryAfter) {
                decisions.add("rejected");
            }
        });
    }

    /** Guards against a permit that outlives its lifetime, which counts from when the request was sent. */
    @Test
    void permitsExpireOneLifetimeAfterTheirRequestWasSent() {
        acquire(SENT.plus(PartSizes.LIFETIME).minusMillis(1));
        assertThat(decisions).containsExactly("granted");
        acquire(SENT.plus(PartSizes.LIFETIME));
        assertThat(decisions).hasSize(1);
        assertThat(requests).hasSize(2);
    }

    /** Guards against permits of a higher limit that are used after a lower one is in force. */
    @Test
    void permitsAreDroppedWhenTheLimitIsLowered() {
        configure(2, 1);
        acquire(SENT.plusMillis(100));
        assertThat(decisions).isEmpty();
    }

    /** Guards against permits and responses from before a suspension, whose age the clock does not show. */
    @Test
    void suspensionDropsPermitsAndWhatWasAskedFor() {
        asker.discard(SENT.plusMillis(100));
        acquire(SENT.plusMillis(200));
        PermitMessage.Request before = requests.get(requests.size() - 1);
        asker.discard(SENT.plusMillis(300));
        respond(before, 2, SENT.plusMillis(310));
        assertThat(decisions).doesNotContain("granted");
    }

    /** Guards against a permit that is given back after the grantor has counted it as used. */
    @Test
    void permitIsOnlyTakenBackBeforeTheNextReport() {
        acquire(SENT.plusMillis(100));
        asker.giveBack(lastPermit, SENT.plusMillis(110));
        acquire(SENT.plusMillis(120));
        acquire(SENT.plusMillis(130));
        assertThat(decisions).hasSize(3);
        Permit used = lastPermit;
        acquire(SENT.plusMillis(140));
        asker.giveBack(used, SENT.plusMillis(150));
        acquire(SENT.plusMillis(160));
        assertThat(decisions).hasSize(3);
    }

    /** Guards against operations that wait for a grantor that does not respond. */
    @Test
    void operationIsRejectedWhenNoGrantorResponds() {
        acquire(SENT.plus(PartSizes.LIFETIME));
        asker.tick(SENT.plus(PartSizes.LIFETIME).plus(PermitAsker.RESPONSE_TIMEOUT));
        assertThat(decisions).containsExactly("rejected");
    }
}
