package org.lavenderwick.daemon.entry;

import java.util.List;

import org.lavenderwick.core.configuration.GroupSettings;
import org.lavenderwick.core.membership.Owners;
import org.lavenderwick.core.membership.Seat;
import org.lavenderwick.core.session.TransactionHandle;

/** Which daemons may run a piece of work. */
interface OwnerChoice {
    /** Returns the daemons in the order in which they are tried. */
    List<Seat> owners(Owners owners);

    /** Returns whether only one process can run the work. */
    boolean fixed();

    /** Any owner of the group, lead first. */
    static OwnerChoice of(GroupSettings group) {
        return new OwnerChoice() {
            @Override
            public List<Seat> owners(Owners owners) {
                return owners.ownersOf(group);
            }

            @Override
            public boolean fixed() {
                return false;
            }
        };
    }

    /** The process that runs the transaction. */
    static OwnerChoice of(TransactionHandle handle) {
        return new OwnerChoice() {
            @Override
            public List<Seat> owners(Owners owners) {
                return owners.table().seats().stream()
                        .filter(seat -> seat.isHeldBy(handle.owner(), handle.incarnation()))
                        .toList();
            }

            @Override
            public boolean fixed() {
                return true;
            }
        };
    }
}
