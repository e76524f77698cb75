package org.lavenderwick.core.connections;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The division of an endpoint's connection limit among the owners of its database group. The first owner in their order
 * is the lead, which gets the largest share if the limit suffices.
 */
public final class ConnectionShares {

    /**
     * The limit divided by this is the share of each owner other than the lead. With a share of its own, an owner can
     * serve requests at once when the lead fails.
     */
    private static final int NON_LEAD_DIVISOR = 5;

    private ConnectionShares() {}

    /**
     * Returns the number of connections that an owner may open to one endpoint. The shares of all owners sum to at most
     * the limit. If the shares of the other owners would leave none to the lead, the limit is divided evenly.
     *
     * @param limit number of connections that the endpoint accepts
     * @param owners number of owners of the group
     * @param index position of the owner in the order of the owners; 0 is the lead
     */
    public static int share(int limit, int owners, int index) {
        checkArgument(limit >= 1, "limit must be at least 1: %s", limit);
        checkArgument(owners >= 1, "number of owners must be at least 1: %s", owners);
        checkArgument(index >= 0 && index < owners, "index %s is out of range for %s owners", index, owners);
        int nonLead = Math.max(1, limit / NON_LEAD_DIVISOR);
        int lead = limit - (owners - 1) * nonLead;
        if (lead >= 1) {
            return index == 0 ? lead : nonLead;
        }
        int evenShare = limit / owners;
        if (evenShare >= 1) {
            return evenShare;
        }
        return index < limit ? 1 : 0;
    }
}
