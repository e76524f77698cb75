package org.lavenderwick.daemon.entry;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;

import io.vavr.control.Either;
import org.apache.thrift.TBaseHelper;
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
import org.lavenderwick.protocol.WireAction;
import org.lavenderwick.protocol.WireFailure;
import org.lavenderwick.protocol.WireLogPoint;

/** Conversion of requests and their outcomes to and from messages between daemons. */
final class RelayCodec {
    private RelayCodec() {}

    /**
     * Returns the message for a request.
     *
     * @param work the request
     * @param now monotonic time, from which the remaining time until the deadline is computed
     * @param seatTableVersion version of the seat table from which the receiver was selected
     * @param fallback whether the receiver is not the preferred owner
     */
    static RelayRequest encodeRequest(WorkRequest work, Duration now, long seatTableVersion, boolean fallback) {
        RelayRequest request = new RelayRequest(
                work.requestId(),
                work.service().value(),
                work.group().value(),
                work.rank().map(RankName::value).orElse(""),
                work.write(),
                encodeStep(work.step()),
                ByteBuffer.wrap(work.statements()),
                Math.max(0, work.deadline().minus(now).toMillis()),
                seatTableVersion,
                fallback);
        work.maxStaleness().ifPresent(age -> request.setMaxStalenessMillis(age.toMillis()));
        work.idempotencyKey().ifPresent(request::setIdempotencyKey);
        work.minimumPoint().ifPresent(point -> request.setMinimumPoint(encodePoint(point)));
        work.transactionId().ifPresent(request::setTransactionId);
        return request;
    }

    /**
     * Returns the request in a message that was received at the monotonic time {@code now}.
     *
     * @throws IllegalArgumentException if a value in the message is invalid
     */
    static WorkRequest decodeRequest(RelayRequest request, Duration now) {
        return new WorkRequest(
                request.getRequestId(),
                ServiceName.of(request.getServiceName()),
                GroupName.of(request.getGroup()),
                request.getRank().isBlank() ? Optional.empty() : Optional.of(RankName.of(request.getRank())),
                decodeAction(request.getAction()),
                request.isWrite(),
                request.getStatements(),
                now.plusMillis(request.getRemainingMillis()),
                request.isSetMaxStalenessMillis()
                        ? Optional.of(Duration.ofMillis(request.getMaxStalenessMillis()))
                        : Optional.empty(),
                Optional.ofNullable(request.getIdempotencyKey()),
                Optional.ofNullable(request.getMinimumPoint()).map(RelayCodec::decodePoint),
                Optional.ofNullable(request.getTransactionId()));
    }

    /** Returns the message for the outcome of a request. */
    static RelayResponse encodeOutcome(String requestId, Either<WorkFailure, WorkResponse> outcome) {
        RelayResponse response = new RelayResponse(requestId);
        if (outcome.isLeft()) {
            Failure failure = outcome.getLeft().failure();
            response.setFailure(new WireFailure(failure.kind().name(), failure.detail()));
            outcome.getLeft().point().ifPresent(point -> response.setPoint(encodePoint(point)));
            return response;
        }
        WorkResponse success = outcome.get();
        response.setResults(success.results());
        response.setPoint(encodePoint(success.point()));
        response.setEndpoint(success.endpoint().value());
        response.setServedByPrimary(success.servedByPrimary());
        response.setWrote(success.wrote());
        success.transactionId().ifPresent(response::setTransactionId);
        return response;
    }

    /** Returns the message for a request that failed without a log point. */
    static RelayResponse encodeFailure(String requestId, Failure failure) {
        return encodeOutcome(requestId, Either.left(WorkFailure.of(failure)));
    }

    /** Returns the outcome in a response; an incomplete response is an internal error. */
    static Either<WorkFailure, WorkResponse> decodeOutcome(RelayResponse response) {
        Optional<LogPoint> point = Optional.ofNullable(response.getPoint()).map(RelayCodec::decodePoint);
        if (response.isSetFailure()) {
            WireFailure failure = response.getFailure();
            return Either.left(new WorkFailure(Failure.of(decodeKind(failure.getKind()), failure.getDetail()), point));
        }
        if (!response.isSetResults() || point.isEmpty() || !response.isSetEndpoint()) {
            return Either.left(WorkFailure.of(ErrorKind.INTERNAL_ERROR, "An owner sent an incomplete answer."));
        }
        return Either.right(new WorkResponse(
                TBaseHelper.byteBufferToByteArray(response.bufferForResults()),
                point.get(),
                EndpointName.of(response.getEndpoint()),
                response.isServedByPrimary(),
                response.isWrote(),
                Optional.ofNullable(response.getTransactionId())));
    }

    /** Returns an error kind by name. A kind unknown to this version becomes an internal error with unknown outcome. */
    private static ErrorKind decodeKind(String name) {
        try {
            return ErrorKind.valueOf(name);
        } catch (IllegalArgumentException e) {
            return ErrorKind.INTERNAL_ERROR;
        }
    }

    private static WireLogPoint encodePoint(LogPoint point) {
        return new WireLogPoint(point.term().number(), point.position());
    }

    private static LogPoint decodePoint(WireLogPoint point) {
        return LogPoint.of(point.getTerm(), point.getPosition());
    }

    private static WireAction encodeStep(TransactionStep step) {
        return switch (step) {
            case SINGLE -> WireAction.SINGLE;
            case BEGIN -> WireAction.BEGIN_TRANSACTION;
            case CONTINUE -> WireAction.CONTINUE_TRANSACTION;
            case COMMIT -> WireAction.COMMIT_TRANSACTION;
            case ROLLBACK -> WireAction.ROLLBACK_TRANSACTION;
        };
    }

    private static TransactionStep decodeAction(WireAction action) {
        return switch (action) {
            case SINGLE -> TransactionStep.SINGLE;
            case BEGIN_TRANSACTION -> TransactionStep.BEGIN;
            case CONTINUE_TRANSACTION -> TransactionStep.CONTINUE;
            case COMMIT_TRANSACTION -> TransactionStep.COMMIT;
            case ROLLBACK_TRANSACTION -> TransactionStep.ROLLBACK;
        };
    }
}
