package org.lavenderwick.daemon.control;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.lavenderwick.core.configuration.ConfigurationHolder;
import org.lavenderwick.core.membership.Digest;
import org.lavenderwick.core.membership.DocumentSelection;
import org.lavenderwick.core.membership.OutgoingExchange;
import org.lavenderwick.core.membership.PeerExchange;
import org.lavenderwick.core.membership.Seat;
import org.lavenderwick.core.membership.SeatTable;
import org.lavenderwick.core.membership.SeatTableHolder;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.daemon.entry.Self;
import org.lavenderwick.daemon.group.EventLoop;
import org.lavenderwick.daemon.peer.PeerClient;
import org.lavenderwick.protocol.ExchangeRequest;
import org.lavenderwick.protocol.ExchangeResponse;
import org.lavenderwick.protocol.WireNews;

/**
 * Component that exchanges digests and documents with peers. Confined to the control thread, except for
 * {@link #newRequest}.
 */
final class ExchangeDriver {
    private final Self self;
    private final FailureDomain domain;
    private final EventLoop control;
    private final PeerExchange exchange;
    private final PeerClient peers;
    private final Duration timeout;
    private final ConfigurationHolder configuration;
    private final SeatTableHolder seats;
    private final Documents documents;

    /** Access to the documents of this daemon: the configuration and the seat table. */
    interface Documents {
        /** Called with the documents that a peer sent. */
        void onReceived(WireNews news);

        /** Adds the selected documents to a message. */
        void add(WireNews news, DocumentSelection selection);

        /** Called when a peer in the failure domain of this daemon has reported the version of its seat table. */
        void onPeerInSameDomain(long tableVersion);
    }

    ExchangeDriver(
            Self self,
            FailureDomain domain,
            EventLoop control,
            PeerExchange exchange,
            PeerClient peers,
            Duration timeout,
            ConfigurationHolder configuration,
            SeatTableHolder seats,
            Documents documents) {
        this.self = self;
        this.domain = domain;
        this.control = control;
        this.exchange = exchange;
        this.peers = peers;
        this.timeout = timeout;
        this.configuration = configuration;
        this.seats = seats;
        this.documents = documents;
    }

    void start() {
        runRound();
    }

    /** Returns an exchange request with the digest of this daemon and no documents. Thread-safe. */
    ExchangeRequest newRequest() {
        return new ExchangeRequest(
                self.daemon().value(), self.incarnation(), domain.value(), WireDocuments.toWire(digest()));
    }

    void onTableInstalled(SeatTable table) {
        exchange.onSeatTable(table);
        push();
    }

    /** Starts exchanges with peers at once, without waiting for the next round, to spread a new document. */
    void push() {
        startExchanges(exchange.push(digest()));
    }

    /** Sends the current seat table to a daemon that may have lost its seat. */
    void sendTable(String address) {
        startExchanges(List.of(new OutgoingExchange(address, new DocumentSelection(OptionalLong.empty(), true))));
    }

    /** Handles an exchange that a peer started, and returns the response with the documents that the peer lacks. */
    ExchangeResponse receive(ExchangeRequest request) {
        if (request.isSetNews()) {
            documents.onReceived(request.getNews());
        }
        Digest peer = WireDocuments.fromWire(request.getDigest());
        seats.table()
                .seatOf(DaemonName.of(request.getDaemon()))
                .ifPresent(seat -> exchange.onDigest(seat.address(), peer));
        if (request.getFailureDomain().equals(domain.value())) {
            documents.onPeerInSameDomain(peer.seatTableVersion());
        }
        ExchangeResponse response = new ExchangeResponse(WireDocuments.toWire(digest()));
        DocumentSelection selection = DocumentSelection.between(digest(), peer);
        if (!selection.isEmpty()) {
            WireNews reply = new WireNews();
            documents.add(reply, selection);
            response.setNews(reply);
        }
        return response;
    }

    private void runRound() {
        control.scheduleAt(control.now().plus(PeerExchange.ROUND_INTERVAL), this::runRound);
        startExchanges(exchange.round(digest()));
    }

    private void startExchanges(List<OutgoingExchange> outgoing) {
        for (OutgoingExchange started : outgoing) {
            ExchangeRequest request = newRequest();
            if (!started.documents().isEmpty()) {
                WireNews sent = new WireNews();
                documents.add(sent, started.documents());
                request.setNews(sent);
            }
            control.deliver(peers.exchange(started.address(), request, timeout), result -> {
                if (result.isRight()) {
                    onResponse(started, result.get());
                }
            });
        }
    }

    private void onResponse(OutgoingExchange started, ExchangeResponse response) {
        if (response.isSetNews()) {
            documents.onReceived(response.getNews());
        }
        Digest peer = WireDocuments.fromWire(response.getDigest());
        boolean sameDomain =
                seats.table().seatsIn(domain).stream().map(Seat::address).anyMatch(started.address()::equals);
        if (sameDomain) {
            documents.onPeerInSameDomain(peer.seatTableVersion());
        }
        Optional<OutgoingExchange> next = exchange.onResponse(started, peer, digest());
        next.ifPresent(followUp -> startExchanges(List.of(followUp)));
    }

    private Digest digest() {
        return Digest.of(configuration.version(), seats.table().version());
    }
}
