package org.lavenderwick.core.ratelimit;

import java.time.Duration;
import java.util.List;

import com.google.common.collect.ImmutableList;
import org.lavenderwick.core.account.AccountName;

/** The messages between the daemons that start operations and the grantors. */
public final class PermitMessage {

    private PermitMessage() {}

    /**
     * What an asker holds and wants of one account.
     *
     * @param account the account
     * @param held permits that the asker holds and has not used
     * @param returned permits that it gives back unused
     * @param waiting operations that wait for a permit
     * @param ahead permits that it would like to have ahead of demand
     */
    public record Ask(AccountName account, long held, long returned, long waiting, long ahead) {}

    /**
     * A request to the grantor of a part.
     *
     * @param number number of the request, so that a late response is not taken for that to a later request
     * @param version configuration version of the asker
     * @param part the part of the limits
     * @param asks the accounts
     */
    public record Request(long number, long version, PartId part, List<Ask> asks) {

        /** Copies the list. */
        public Request {
            asks = ImmutableList.copyOf(asks);
        }
    }

    /** Whether a request was served. */
    public enum Status {
        /** The request was served. */
        GRANTED,
        /** The daemon does not grant for this part at present. */
        NOT_GRANTOR,
        /** The configuration of the grantor is older than that of the asker. */
        OUTDATED
    }

    /**
     * What an asker may use of one account.
     *
     * @param account the account
     * @param total permits that the asker holds now, with those that it reported
     * @param roomAfter time until there is room for an operation that still waits; zero if there is none
     */
    public record Granted(AccountName account, long total, Duration roomAfter) {}

    /**
     * The response to a request.
     *
     * @param number number of the request
     * @param status whether it was served
     * @param lifetime time for which the permits may be used, counted from when the request was sent
     * @param granted the accounts
     */
    public record Response(long number, Status status, Duration lifetime, List<Granted> granted) {

        /** Copies the list. */
        public Response {
            granted = ImmutableList.copyOf(granted);
        }
    }
}
