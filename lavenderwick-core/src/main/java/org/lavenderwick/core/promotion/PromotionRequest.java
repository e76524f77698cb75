package org.lavenderwick.core.promotion;

import java.util.Optional;

import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.Term;

/** The reason for running a {@link PromotionCoordinator}. */
public sealed interface PromotionRequest {

    /**
     * Returns whether an open term should be closed.
     *
     * @param open group record with the open term
     * @param first the first group record that the coordinator read
     */
    boolean shouldClose(GroupRecord open, GroupRecord first);

    /** Returns whether the promotion is a planned switchover. */
    default boolean planned() {
        return false;
    }

    /** Returns the endpoint that a switchover must promote, or empty if it may promote any. */
    default Optional<EndpointName> target() {
        return Optional.empty();
    }

    /**
     * Promotion because the primary is unreachable.
     *
     * @param suspected term of that primary; nothing is done if a later term is open
     */
    record Unplanned(Term suspected) implements PromotionRequest {
        @Override
        public boolean shouldClose(GroupRecord open, GroupRecord first) {
            return open.term().equals(suspected);
        }
    }

    /**
     * Planned change of the primary, ordered by an operator or caused by a planned stop.
     *
     * @param target endpoint to promote, or empty for any except the current primary
     */
    record Switchover(Optional<EndpointName> target) implements PromotionRequest {
        @Override
        public boolean shouldClose(GroupRecord open, GroupRecord first) {
            return target.isPresent()
                    ? !target.get().equals(open.primary())
                    : open.term().equals(first.term());
        }

        @Override
        public boolean planned() {
            return true;
        }
    }

    /** Continuation of an unfinished promotion found in the group record. */
    record Resume() implements PromotionRequest {
        @Override
        public boolean shouldClose(GroupRecord open, GroupRecord first) {
            return false;
        }
    }
}
