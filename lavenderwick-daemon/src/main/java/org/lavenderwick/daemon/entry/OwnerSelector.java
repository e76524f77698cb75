package org.lavenderwick.daemon.entry;

import java.util.List;

import org.lavenderwick.core.configuration.GroupSettings;
import org.lavenderwick.core.membership.Owners;
import org.lavenderwick.core.membership.Seat;
import org.lavenderwick.core.session.TransactionHandle;

/** Selection of the daemons that may run a request. */
interface OwnerSelector {
    /** Returns the daemons that may run the request, in order of preference. */
    List<Seat> candidates(Owners owners);

    /** Returns whether the request is bound to one daemon process, so that no other can ever run it. */
    boolean isPinned();

    /** Returns a selector for the owners of a group, lead owner first. */
    static OwnerSelector forGroup(GroupSettings group) {
        return new OwnerSelector() {
            @Override
            public List<Seat> candidates(Owners owners) {
                return owners.ownersOf(group);
            }

            @Override
            public boolean isPinned() {
                return false;
            }
        };
    }

    /** Returns a selector for the daemon process that runs an open transaction. */
    static OwnerSelector forTransaction(TransactionHandle handle) {
        return new OwnerSelector() {
            @Override
            public List<Seat> candidates(Owners owners) {
                return owners.table().seats().stream()
                        .filter(seat -> seat.isHeldBy(handle.owner(), handle.incarnation()))
                        .toList();
            }

            @Override
            public boolean isPinned() {
                return true;
            }
        };
    }
}
