package org.lavenderwick.daemon;

import java.util.concurrent.CompletableFuture;

import org.lavenderwick.daemon.peer.PeerHandler;
import org.lavenderwick.protocol.ExchangeRequest;
import org.lavenderwick.protocol.ExchangeResponse;
import org.lavenderwick.protocol.RelayRequest;
import org.lavenderwick.protocol.RelayResponse;

/** Stands in for the handler of peers between the start of the server and that of the daemon. Thread-safe. */
final class LatePeerHandler implements PeerHandler {
    private final CompletableFuture<PeerHandler> handler = new CompletableFuture<>();

    void delegateTo(PeerHandler target) {
        handler.complete(target);
    }

    @Override
    public CompletableFuture<RelayResponse> execute(RelayRequest request) {
        return handler.thenCompose(target -> target.execute(request));
    }

    @Override
    public CompletableFuture<ExchangeResponse> exchange(ExchangeRequest request) {
        return handler.thenCompose(target -> target.exchange(request));
    }
}
