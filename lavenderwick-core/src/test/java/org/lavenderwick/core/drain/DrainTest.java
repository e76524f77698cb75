package org.lavenderwick.core.drain;

import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.lavenderwick.core.error.ErrorKind;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class DrainTest {

    private static final Duration START = Duration.ofMinutes(5);

    private final Drain drain = Drain.create(Duration.ofSeconds(20));

    /** Guards against a shutdown that aborts work in flight or accepts new work. */
    @Test
    void endsWhenTheLastWorkInFlightEnds() {
        drain.accept();
        drain.accept();
        assertThat(drain.isReady()).isTrue();

        drain.begin(START);
        assertThat(drain.isReady()).isFalse();
        assertThat(drain.accept().getLeft().kind()).isEqualTo(ErrorKind.DRAINING);
        drain.finished();
        assertThat(drain.tick(START.plusSeconds(19))).isEqualTo(DrainState.DRAINING);
        drain.finished();
        assertThat(drain.tick(START.plusSeconds(60))).isEqualTo(DrainState.DONE);
    }

    /** Guards against a commit that is rejected because the daemon began to drain during the transaction. */
    @Test
    void continuesOpenTransactions() {
        drain.accept();
        drain.begin(START);

        assertThat(drain.acceptContinuation().isRight()).isTrue();
        drain.finished();
        drain.finished();
        assertThat(drain.acceptContinuation().isLeft()).isTrue();
    }

    /** Guards against a shutdown that never ends because a request does not, or whose timeout starts again. */
    @Test
    void endsAtTheTimeout() {
        drain.accept();
        drain.begin(START);
        drain.begin(START.plusSeconds(15));

        assertThat(drain.tick(START.plusSeconds(20))).isEqualTo(DrainState.BOUND_REACHED);
        drain.finished();
        assertThat(drain.state()).isEqualTo(DrainState.BOUND_REACHED);
        assertThatThrownBy(drain::finished).isInstanceOf(IllegalStateException.class);
    }

    /** Guards against an idle daemon that waits for the timeout before it stops. */
    @Test
    void endsImmediatelyIfIdle() {
        drain.begin(START);

        assertThat(drain.state()).isEqualTo(DrainState.DONE);
    }
}
