package org.lavenderwick.daemon;

import java.util.concurrent.CompletableFuture;

import org.lavenderwick.daemon.peer.PeerHandler;
import org.lavenderwick.protocol.ExchangeRequest;
import org.lavenderwick.protocol.ExchangeResponse;
import org.lavenderwick.protocol.RelayRequest;
import org.lavenderwick.protocol.RelayResponse;

/**
 * A peer handler that holds requests until its delegate is set. It lets the peer server start, and so get its port,
 * before the components that handle the requests exist. Thread-safe.
 */
final class DeferredPeerHandler implements PeerHandler {
    private final CompletableFuture<PeerHandler> delegate = new CompletableFuture<>();

    /** Sets the handler that receives all held and later requests. Further calls have no effect. */
    void setDelegate(PeerHandler handler) {
        delegate.complete(handler);
    }

    @Override
    public CompletableFuture<RelayResponse> execute(RelayRequest request) {
        return delegate.thenCompose(handler -> handler.execute(request));
    }

    @Override
    public CompletableFuture<ExchangeResponse> exchange(ExchangeRequest request) {
        return delegate.thenCompose(handler -> handler.exchange(request));
    }
}
