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

/** Turns work and its outcome into messages between daemons and back. */
final class RelayCodec {
    private RelayCodec() {}

    static RelayRequest request(WorkRequest work, Duration now, long seatTableVersion, boolean fallback) {
        RelayRequest request = new RelayRequest(
                work.requestId(),
                work.service().value(),
                work.group().value(),
                work.rank().map(RankName::value).orElse(""),
                work.write(),
                action(work.step()),
                ByteBuffer.wrap(work.statements()),
                Math.max(0, work.deadline().minus(now).toMillis()),
                seatTableVersion,
                fallback);
        work.maxStaleness().ifPresent(age -> request.setMaxStalenessMillis(age.toMillis()));
        work.idempotencyKey().ifPresent(request::setIdempotencyKey);
        work.minimumPoint().ifPresent(point -> request.setMinimumPoint(wire(point)));
        work.transactionId().ifPresent(request::setTransactionId);
        return request;
    }

    /** Returns the work of a request that arrived now. */
    static WorkRequest work(RelayRequest request, Duration now) {
        return new WorkRequest(
                request.getRequestId(),
                ServiceName.of(request.getServiceName()),
                GroupName.of(request.getGroup()),
                request.getRank().isBlank() ? Optional.empty() : Optional.of(RankName.of(request.getRank())),
                step(request.getAction()),
                request.isWrite(),
                request.getStatements(),
                now.plusMillis(request.getRemainingMillis()),
                request.isSetMaxStalenessMillis()
                        ? Optional.of(Duration.ofMillis(request.getMaxStalenessMillis()))
                        : Optional.empty(),
                Optional.ofNullable(request.getIdempotencyKey()),
                Optional.ofNullable(request.getMinimumPoint()).map(RelayCodec::point),
                Optional.ofNullable(request.getTransactionId()));
    }

    static RelayResponse response(String requestId, Either<WorkFailure, WorkResponse> outcome) {
        RelayResponse response = new RelayResponse(requestId);
        if (outcome.isLeft()) {
            Failure failure = outcome.getLeft().failure();
            response.setFailure(new WireFailure(failure.kind().name(), failure.detail()));
            outcome.getLeft().point().ifPresent(point -> response.setPoint(wire(point)));
            return response;
        }
        WorkResponse answer = outcome.get();
        response.setResults(answer.results());
        response.setPoint(wire(answer.point()));
        response.setEndpoint(answer.endpoint().value());
        response.setServedByPrimary(answer.servedByPrimary());
        response.setWrote(answer.wrote());
        answer.transactionId().ifPresent(response::setTransactionId);
        return response;
    }

    static RelayResponse refusal(String requestId, Failure failure) {
        return response(requestId, Either.left(WorkFailure.of(failure)));
    }

    static Either<WorkFailure, WorkResponse> outcome(RelayResponse response) {
        Optional<LogPoint> point = Optional.ofNullable(response.getPoint()).map(RelayCodec::point);
        if (response.isSetFailure()) {
            WireFailure failure = response.getFailure();
            return Either.left(new WorkFailure(Failure.of(kind(failure.getKind()), failure.getDetail()), point));
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

    /** A kind that a newer daemon knows and this one does not counts as a fault with an unknown outcome. */
    private static ErrorKind kind(String name) {
        try {
            return ErrorKind.valueOf(name);
        } catch (IllegalArgumentException e) {
            return ErrorKind.INTERNAL_ERROR;
        }
    }

    private static WireLogPoint wire(LogPoint point) {
        return new WireLogPoint(point.term().number(), point.position());
    }

    private static LogPoint point(WireLogPoint point) {
        return LogPoint.of(point.getTerm(), point.getPosition());
    }

    private static WireAction action(TransactionStep step) {
        return switch (step) {
            case SINGLE -> WireAction.SINGLE;
            case BEGIN -> WireAction.BEGIN_TRANSACTION;
            case CONTINUE -> WireAction.CONTINUE_TRANSACTION;
            case COMMIT -> WireAction.COMMIT_TRANSACTION;
            case ROLLBACK -> WireAction.ROLLBACK_TRANSACTION;
        };
    }

    private static TransactionStep step(WireAction action) {
        return switch (action) {
            case SINGLE -> TransactionStep.SINGLE;
            case BEGIN_TRANSACTION -> TransactionStep.BEGIN;
            case CONTINUE_TRANSACTION -> TransactionStep.CONTINUE;
            case COMMIT_TRANSACTION -> TransactionStep.COMMIT;
            case ROLLBACK_TRANSACTION -> TransactionStep.ROLLBACK;
        };
    }
}
