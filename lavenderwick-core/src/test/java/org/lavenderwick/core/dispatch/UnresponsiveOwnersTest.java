package org.lavenderwick.core.dispatch;

import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.lavenderwick.core.model.DaemonName;

import static org.assertj.core.api.Assertions.assertThat;

class UnresponsiveOwnersTest {

    private static final DaemonName OWNER = DaemonName.of("d1");

    private final UnresponsiveOwners<DaemonName> owners = UnresponsiveOwners.create();

    private static Duration at(long millis) {
        return Duration.ofMillis(millis);
    }

    /** Guards against callers that wait for a cut-off owner, one attempt after the other. */
    @Test
    void ownerWithoutResponsesIsAvoidedAndTriedAgain() {
        owners.onRequestSent(OWNER, at(0));
        owners.onRequestSent(OWNER, at(500));
        assertThat(owners.isUnresponsive(OWNER, at(600))).isFalse();
        assertThat(owners.isUnresponsive(OWNER, at(601))).isTrue();
        assertThat(owners.isUnresponsive(OWNER, at(3000))).isFalse();
        owners.onRequestSent(OWNER, at(3100));
        assertThat(owners.isUnresponsive(OWNER, at(3701))).isTrue();
    }

    /** Guards against giving up an owner that is only slow with one of many requests. */
    @Test
    void anyResponseShowsThatTheOwnerIsReachable() {
        owners.onRequestSent(OWNER, at(0));
        owners.onResponse(OWNER);
        assertThat(owners.isUnresponsive(OWNER, at(700))).isFalse();
    }
}
