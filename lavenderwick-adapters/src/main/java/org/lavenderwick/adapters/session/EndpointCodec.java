package org.lavenderwick.adapters.session;

import java.util.Optional;

import io.vavr.control.Either;
import org.lavenderwick.core.account.AccountName;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.failover.EndpointReport;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.core.statement.SetupStep;
import org.lavenderwick.core.statement.Statement;

/** The messages between the daemon and endpoints, one line each, without the line end. */
public interface EndpointCodec {

    /**
     * Returns the line that opens a connection; any other endpoint at the address refuses it.
     *
     * @param account the client account that the connection belongs to; empty for the daemon's own
     */
    String connect(GroupName group, Optional<AccountName> account, EndpointName expected);

    /** Returns the line that prepares the state of a connection. */
    String setup(SetupStep step);

    /** Returns the line that opens a transaction; the endpoint refuses it if its log lacks the position. */
    String begin(boolean readOnly, Optional<LogPoint> after);

    /** Returns the line that rolls a transaction back. */
    String rollback();

    /**
     * Returns the line that passes on a caller's statement.
     *
     * @param id the id that the caller gave it
     * @param preparedName for an execution, the name of the prepared statement on the connection
     * @param after position that the log must hold
     */
    String statement(String id, Statement statement, Optional<String> preparedName, Optional<LogPoint> after);

    /** Returns the line that asks for the state of the endpoint. */
    String status();

    /** Returns the line that stops a replica from receiving the log of earlier terms. */
    String pause(long term);

    /** Returns the line that makes a primary of an earlier term a replica. */
    String stepDown(long term);

    /** Parses a line of an endpoint; a failure means that the connection cannot be used any more. */
    Either<Failure, EndpointMessage> parse(String line);

    /** Parses the row that answers a question for the state or an order of a failover. */
    Either<Failure, EndpointReport> parseReport(String row);
}
