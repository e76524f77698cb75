package org.lavenderwick.core.session;

import org.lavenderwick.core.model.DaemonName;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Names an open transaction and the process that holds its connection.
 *
 * @param owner the daemon that runs the transaction
 * @param incarnation the process of that daemon; the transaction ended if another one runs now
 * @param transactionId identity of the transaction within the process
 */
public record TransactionHandle(DaemonName owner, long incarnation, String transactionId) {

    /** Longest transaction identity, in characters. */
    public static final int MAX_ID_LENGTH = 128;

    /** Checks the length of the identity. */
    public TransactionHandle {
        checkArgument(
                !transactionId.isBlank() && transactionId.length() <= MAX_ID_LENGTH,
                "transaction identity is blank or too long");
    }
}
