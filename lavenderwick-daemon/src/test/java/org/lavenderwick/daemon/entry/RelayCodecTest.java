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
    /** Monotonic times of two daemons, which have unrelated origins. */
    private static final Duration SENDER_NOW = Duration.ofDays(3);

    private static final Duration RECEIVER_NOW = Duration.ofSeconds(7);

    @Property(seed = "4711", tries = 300)
    void requestSurvivesRoundTripWithDeadlineOnReceiverClock(@ForAll("requests") WorkRequest work) throws Exception {
        RelayRequest sent = RelayCodec.encodeRequest(work, SENDER_NOW, 5, true);
        RelayRequest received = new RelayRequest();
        new TDeserializer().deserialize(received, new TSerializer().serialize(sent));
        WorkRequest decoded = RelayCodec.decodeRequest(received, RECEIVER_NOW);
        assertThat(decoded)
                .usingRecursiveComparison()
                .ignoringFields("deadline")
                .isEqualTo(work);
        assertThat(decoded.deadline().minus(RECEIVER_NOW))
                .isEqualTo(work.deadline().minus(SENDER_NOW));
    }

    @Provide
    Arbitrary<WorkRequest> requests() {
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
    void failureKeepsKindAndPoint(ErrorKind kind) {
        WorkFailure failure = new WorkFailure(Failure.of(kind, "Why."), Optional.of(LogPoint.of(3, 14)));
        assertThat(RelayCodec.decodeOutcome(RelayCodec.encodeOutcome("id", Either.left(failure)))
                        .getLeft())
                .isEqualTo(failure);
    }

    @Test
    void responseKeepsAllFields() {
        WorkResponse response = new WorkResponse(
                new byte[] {'[', ']'}, LogPoint.of(3, 14), EndpointName.of("e"), true, true, Optional.of("t"));
        assertThat(RelayCodec.decodeOutcome(RelayCodec.encodeOutcome("id", Either.right(response)))
                        .get())
                .usingRecursiveComparison()
                .isEqualTo(response);
    }

    /** A kind that only a newer daemon knows must never be reported as not run. */
    @Test
    void unknownErrorKindIsAnInternalError() {
        RelayResponse response = new RelayResponse("id");
        response.setFailure(new WireFailure("SOMETHING_NEW", "Why."));
        assertThat(RelayCodec.decodeOutcome(response).getLeft().failure().kind())
                .isEqualTo(ErrorKind.INTERNAL_ERROR);
    }

    /** A response that lacks required fields must not be taken for a success. */
    @Test
    void incompleteResponseIsAnInternalError() {
        assertThat(RelayCodec.decodeOutcome(new RelayResponse("id"))
                        .getLeft()
                        .failure()
                        .kind())
                .isEqualTo(ErrorKind.INTERNAL_ERROR);
    }
}
