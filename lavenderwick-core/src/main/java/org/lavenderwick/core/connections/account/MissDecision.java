package org.lavenderwick.core.connections.account;

import java.util.Optional;

/**
 * What to do for a statement whose account has no idle connection.
 *
 * @param action the action
 * @param evicted the idle connection to close before a new one is opened; empty if there is room
 */
public record MissDecision<C>(Action action, Optional<C> evicted) {

    /** The action for a statement without an idle connection. */
    public enum Action {
        /** Open a connection for the account. */
        OPEN,
        /** Wait, because a connection of the account is expected to be free before a new one would be ready. */
        WAIT,
        /** Nothing can be done here now: the maximum is reached and no connection may be evicted. */
        NO_ROOM
    }

    static <C> MissDecision<C> of(Action action) {
        return new MissDecision<>(action, Optional.empty());
    }

    /** Returns the decision to open a connection in place of another one. */
    static <C> MissDecision<C> replace(C evicted) {
        return new MissDecision<>(Action.OPEN, Optional.of(evicted));
    }
}
