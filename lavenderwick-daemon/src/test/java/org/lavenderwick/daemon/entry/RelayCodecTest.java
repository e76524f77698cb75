package org.lavenderwick.daemon.entry;

import java.time.Duration;
import java.util.Optional;

import io.vavr.control.Either;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TSerializer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.lavenderwick.adapters.endpoint.TransactionStep;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.core.model.RankName;
import org.lavenderwick.core.model.ServiceName;
import org.lavenderwick.daemon.group.WorkFailure;
import org.lavenderwick.daemon.group.WorkRequest;
import org.lavenderwick.daemon.group.WorkResponse;
import org.lavenderwick.protocol.RelayRequest;
import org.lavenderwick.protocol.RelayResponse;
import org.lavenderwick.protocol.WireFailure;

import static org.assertj.core.api.Assertions.assertThat;

class RelayCodecTest {
    /** Monotonic clocks of two daemons have nothing in common. */
    private static final Duration SENDER_NOW = Duration.ofDays(3);

    private static final Duration RECEIVER_NOW = Duration.ofSeconds(7);

    @Property(seed = "4711", tries = 300)
    void workArrivesAsItWasSentButForTheClock(@ForAll("works") WorkRequest work) throws Exception {
        RelayRequest sent = RelayCodec.request(work, SENDER_NOW, 5, true);
        RelayRequest received = new RelayRequest();
        new TDeserializer().deserialize(received, new TSerializer().serialize(sent));
        WorkRequest arrived = RelayCodec.work(received, RECEIVER_NOW);
        assertThat(arrived)
                .usingRecursiveComparison()
                .ignoringFields("deadline")
                .isEqualTo(work);
        assertThat(arrived.deadline().minus(RECEIVER_NOW))
                .isEqualTo(work.deadline().minus(SENDER_NOW));
    }

    @Provide
    Arbitrary<WorkRequest> works() {
        Arbitrary<String> names = Arbitraries.strings().alpha().ofMinLength(1).ofMaxLength(20);
        Arbitrary<Optional<Duration>> ages =
                Arbitraries.longs().between(0, 100_000).map(Duration::ofMillis).optional();
        Arbitrary<Optional<LogPoint>> points = Combinators.combine(
                        Arbitraries.longs().between(0, Long.MAX_VALUE),
                        Arbitraries.longs().between(0, Long.MAX_VALUE))
                .as(LogPoint::of)
                .optional();
        return Combinators.combine(
                        names,
                        Arbitraries.of(TransactionStep.values()),
                        Arbitraries.of(true, false),
                        Arbitraries.bytes().array(byte[].class).ofMaxSize(50),
                        ages,
                        points,
                        names.optional(),
                        Arbitraries.longs().between(1, 60_000))
                .as((name, step, write, statements, age, point, optionalName, millis) -> new WorkRequest(
                        name,
                        ServiceName.of(name),
                        GroupName.of(name),
                        optionalName.map(RankName::of),
                        step,
                        write,
                        statements,
                        SENDER_NOW.plusMillis(millis),
                        age,
                        optionalName,
                        point,
                        optionalName));
    }

    @ParameterizedTest
    @EnumSource(ErrorKind.class)
    void failuresKeepTheirKindAndPoint(ErrorKind kind) {
        WorkFailure failure = new WorkFailure(Failure.of(kind, "Why."), Optional.of(LogPoint.of(3, 14)));
        assertThat(RelayCodec.outcome(RelayCodec.response("id", Either.left(failure)))
                        .getLeft())
                .isEqualTo(failure);
    }

    @Test
    void answersKeepAllMembers() {
        WorkResponse answer = new WorkResponse(
                new byte[] {'[', ']'}, LogPoint.of(3, 14), EndpointName.of("e"), true, true, Optional.of("t"));
        assertThat(RelayCodec.outcome(RelayCodec.response("id", Either.right(answer)))
                        .get())
                .usingRecursiveComparison()
                .isEqualTo(answer);
    }

    @Test
    void aKindOfANewerDaemonIsNeverTakenForNotRun() {
        RelayResponse response = new RelayResponse("id");
        response.setFailure(new WireFailure("SOMETHING_NEW", "Why."));
        assertThat(RelayCodec.outcome(response).getLeft().failure().kind()).isEqualTo(ErrorKind.INTERNAL_ERROR);
    }

    @Test
    void anIncompleteAnswerIsNotASuccess() {
        assertThat(RelayCodec.outcome(new RelayResponse("id"))
                        .getLeft()
                        .failure()
                        .kind())
                .isEqualTo(ErrorKind.INTERNAL_ERROR);
    }
}
