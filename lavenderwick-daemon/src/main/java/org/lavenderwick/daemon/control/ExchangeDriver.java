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

/** Exchanges digests and documents with peers. Confined to the control thread, but for {@link #question}. */
final class ExchangeDriver {
    private final Self self;
    private final FailureDomain domain;
    private final EventLoop control;
    private final PeerExchange exchange;
    private final PeerClient peers;
    private final Duration timeout;
    private final ConfigurationHolder configuration;
    private final SeatTableHolder seats;
    private final News news;

    /** Takes and gives documents. */
    interface News {
        /** Takes documents that a peer sent. */
        void seen(WireNews news);

        /** Adds the documents of the plan to a message. */
        void add(WireNews news, DocumentSelection plan);

        /** A peer of the own failure domain has the given seat table. */
        void peerOfOwnDomain(long tableVersion);
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
            News news) {
        this.self = self;
        this.domain = domain;
        this.control = control;
        this.exchange = exchange;
        this.peers = peers;
        this.timeout = timeout;
        this.configuration = configuration;
        this.seats = seats;
        this.news = news;
    }

    void start() {
        round();
    }

    /** Returns an exchange without news. Thread-safe. */
    ExchangeRequest question() {
        return new ExchangeRequest(
                self.daemon().value(), self.incarnation(), domain.value(), WireDocuments.wire(digest()));
    }

    void tableInstalled(SeatTable table) {
        exchange.onSeatTable(table);
        push();
    }

    /** Sends what is new to peers at once. */
    void push() {
        contact(exchange.push(digest()));
    }

    /** Sends the newest seat table to a daemon that may have lost its seat. */
    void sendTable(String address) {
        contact(List.of(new OutgoingExchange(address, new DocumentSelection(OptionalLong.empty(), true))));
    }

    /** Takes an exchange that a peer started. */
    ExchangeResponse receive(ExchangeRequest request) {
        if (request.isSetNews()) {
            news.seen(request.getNews());
        }
        Digest peer = WireDocuments.digest(request.getDigest());
        seats.table()
                .seatOf(DaemonName.of(request.getDaemon()))
                .ifPresent(seat -> exchange.onDigest(seat.address(), peer));
        if (request.getFailureDomain().equals(domain.value())) {
            news.peerOfOwnDomain(peer.seatTableVersion());
        }
        ExchangeResponse response = new ExchangeResponse(WireDocuments.wire(digest()));
        DocumentSelection plan = DocumentSelection.between(digest(), peer);
        if (!plan.isEmpty()) {
            WireNews reply = new WireNews();
            news.add(reply, plan);
            response.setNews(reply);
        }
        return response;
    }

    private void round() {
        control.scheduleAt(control.now().plus(PeerExchange.ROUND_INTERVAL), this::round);
        contact(exchange.round(digest()));
    }

    private void contact(List<OutgoingExchange> contacts) {
        for (OutgoingExchange contact : contacts) {
            ExchangeRequest request = question();
            if (!contact.documents().isEmpty()) {
                WireNews sent = new WireNews();
                news.add(sent, contact.documents());
                request.setNews(sent);
            }
            control.deliver(peers.exchange(contact.address(), request, timeout), answer -> {
                if (answer.isRight()) {
                    answered(contact, answer.get());
                }
            });
        }
    }

    private void answered(OutgoingExchange contact, ExchangeResponse response) {
        if (response.isSetNews()) {
            news.seen(response.getNews());
        }
        Digest peer = WireDocuments.digest(response.getDigest());
        boolean ownDomain =
                seats.table().seatsIn(domain).stream().map(Seat::address).anyMatch(contact.address()::equals);
        if (ownDomain) {
            news.peerOfOwnDomain(peer.seatTableVersion());
        }
        Optional<OutgoingExchange> next = exchange.onResponse(contact, peer, digest());
        next.ifPresent(again -> contact(List.of(again)));
    }

    private Digest digest() {
        return Digest.of(configuration.version(), seats.table().version());
    }
}
