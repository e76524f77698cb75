package org.lavenderwick.daemon.peer;

import java.util.concurrent.CompletableFuture;

import org.lavenderwick.protocol.ExchangeRequest;
import org.lavenderwick.protocol.ExchangeResponse;
import org.lavenderwick.protocol.RelayRequest;
import org.lavenderwick.protocol.RelayResponse;

/** A handler of the calls that arrive from peers. Thread-safe. */
public interface PeerHandler {
    /** Executes a relayed request. The returned future always completes. */
    CompletableFuture<RelayResponse> execute(RelayRequest request);

    /**
     * Applies the documents that a peer sent and returns the newer documents that the peer lacks. The returned future
     * always completes.
     */
    CompletableFuture<ExchangeResponse> exchange(ExchangeRequest request);
}
