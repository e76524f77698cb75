package org.lavenderwick.core.connections;

import static com.google.common.base.Preconditions.checkArgument;

/** Divides the connection limit of an endpoint among the owners of its database group. */
public final class ConnectionShares {

    /** A non-lead owner gets the limit divided by this, which lets it serve at once when the lead fails. */
    private static final int RESERVE_DIVISOR = 5;

    private ConnectionShares() {}

    /**
     * Returns how many connections an owner may open to one endpoint. The shares of all owners sum to at most the
     * limit.
     *
     * @param limit number of connections that the endpoint accepts
     * @param owners number of owners of the group
     * @param index place of the owner in their order; 0 is the lead
     */
    public static int share(int limit, int owners, int index) {
        checkArgument(limit >= 1, "limit is below 1: %s", limit);
        checkArgument(owners >= 1, "number of owners is below 1: %s", owners);
        checkArgument(index >= 0 && index < owners, "index %s is not one of %s owners", index, owners);
        int reserve = Math.max(1, limit / RESERVE_DIVISOR);
        int lead = limit - (owners - 1) * reserve;
        if (lead >= 1) {
            return index == 0 ? lead : reserve;
        }
        int even = limit / owners;
        if (even >= 1) {
            return even;
        }
        return index < limit ? 1 : 0;
    }
}
