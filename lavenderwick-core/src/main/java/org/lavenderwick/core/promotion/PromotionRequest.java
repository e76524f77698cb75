package org.lavenderwick.core.promotion;

import java.util.Optional;

import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.Term;

/** Why a coordinator runs. */
public sealed interface PromotionRequest {

    /**
     * Returns whether an open term is to be closed.
     *
     * @param open the record of the open term
     * @param first the first record that the coordinator read
     */
    boolean closes(GroupRecord open, GroupRecord first);

    /** Returns whether an operator ordered the change. */
    default boolean planned() {
        return false;
    }

    /** Returns the endpoint that a planned change promotes; empty for any. */
    default Optional<EndpointName> target() {
        return Optional.empty();
    }

    /**
     * The primary is unreachable.
     *
     * @param suspected term of that primary; nothing is done if a later term is open
     */
    record Unplanned(Term suspected) implements PromotionRequest {
        @Override
        public boolean closes(GroupRecord open, GroupRecord first) {
            return open.term().equals(suspected);
        }
    }

    /**
     * An operator or a planned stop orders a change of primary.
     *
     * @param target endpoint to promote; empty for any but the present primary
     */
    record Switchover(Optional<EndpointName> target) implements PromotionRequest {
        @Override
        public boolean closes(GroupRecord open, GroupRecord first) {
            return target.isPresent()
                    ? !target.get().equals(open.primary())
                    : open.term().equals(first.term());
        }

        @Override
        public boolean planned() {
            return true;
        }
    }

    /** A half-done promotion was found in the group record. */
    record Resume() implements PromotionRequest {
        @Override
        public boolean closes(GroupRecord open, GroupRecord first) {
            return false;
        }
    }
}
