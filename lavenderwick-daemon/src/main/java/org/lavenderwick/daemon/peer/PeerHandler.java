package org.lavenderwick.daemon.peer;

import java.util.concurrent.CompletableFuture;

import org.lavenderwick.protocol.ExchangeRequest;
import org.lavenderwick.protocol.ExchangeResponse;
import org.lavenderwick.protocol.RelayRequest;
import org.lavenderwick.protocol.RelayResponse;

/** Answers the calls of peers. Thread-safe. */
public interface PeerHandler {
    /** Runs a relayed request. The future always completes. */
    CompletableFuture<RelayResponse> execute(RelayRequest request);

    /** Takes what a peer knows and returns what it lacks. The future always completes. */
    CompletableFuture<ExchangeResponse> exchange(ExchangeRequest request);
}
