package org.lavenderwick.core.failover;

import java.util.HashSet;
import java.util.Set;

/** The links between failure domains and to the store. A failure domain that is cut off reaches only itself. */
final class SimulatedNetwork {

    private final Set<Integer> cutDomains = new HashSet<>();
    private boolean storeDown;

    /** Sets whether a failure domain is cut off from the other ones and from the store. */
    void setCut(int domain, boolean cut) {
        if (cut) {
            cutDomains.add(domain);
        } else {
            cutDomains.remove(domain);
        }
    }

    /** Sets whether nothing reaches the store. */
    void setStoreDown(boolean down) {
        storeDown = down;
    }

    boolean connects(int first, int second) {
        return first == second || (!cutDomains.contains(first) && !cutDomains.contains(second));
    }

    boolean reachesStore(int domain) {
        return !storeDown && !cutDomains.contains(domain);
    }
}
