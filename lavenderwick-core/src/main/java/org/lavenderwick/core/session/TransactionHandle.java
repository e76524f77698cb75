package org.lavenderwick.core.session;

import org.lavenderwick.core.model.DaemonName;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Reference to an open transaction and to the daemon process that holds its database connection.
 *
 * @param owner the daemon that executes the transaction
 * @param incarnation number of the daemon process; after a restart the number differs and the transaction has ended
 * @param transactionId ID of the transaction, unique within the process
 */
public record TransactionHandle(DaemonName owner, long incarnation, String transactionId) {

    /** Maximum length of a transaction ID, in characters. */
    public static final int MAX_ID_LENGTH = 128;

    /** Checks the length of the transaction ID. */
    public TransactionHandle {
        checkArgument(
                !transactionId.isBlank() && transactionId.length() <= MAX_ID_LENGTH,
                "transaction ID is blank or too long");
    }
}
