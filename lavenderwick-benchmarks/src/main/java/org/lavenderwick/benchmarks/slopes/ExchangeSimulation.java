package org.lavenderwick.benchmarks.slopes;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

import org.lavenderwick.core.membership.Digest;
import org.lavenderwick.core.membership.DocumentSelection;
import org.lavenderwick.core.membership.OutgoingExchange;
import org.lavenderwick.core.membership.PeerExchange;
import org.lavenderwick.core.membership.SeatTable;

/**
 * Real {@link PeerExchange} instances of a whole fleet in simulated time. Messages take 1 ms one way and get lost
 * between the two sides of a cut. Sizes of messages are those of the encoded ones.
 */
final class ExchangeSimulation {
    private static final Duration ONE_WAY = Duration.ofMillis(1);

    private final EventQueue time = new EventQueue();
    private final List<Member> members = new ArrayList<>();
    private final Map<String, Member> byAddress = new HashMap<>();
    private final MessageSizes sizes;
    private final SeatTable table;
    private int cutDomains;
    private long messageBytes;
    private long newsCopies;

    ExchangeSimulation(int daemons, long seed, MessageSizes sizes) {
        this.sizes = sizes;
        this.table = Fleet.seatTable(daemons, 1);
        Random random = new Random(seed);
        for (int i = 0; i < daemons; i++) {
            Member member = new Member(i, new Random(random.nextLong()));
            members.add(member);
            byAddress.put(Fleet.address(i), member);
            time.after(Duration.ofNanos(random.nextLong(PeerExchange.ROUND_INTERVAL.toNanos())), member::round);
        }
    }

    /**
     * Bytes of messages.
     *
     * @param request a call without news
     * @param response an answer without news
     * @param change a change of the configuration
     * @param table the seat table
     */
    record MessageSizes(int request, int response, int change, int table) {}

    void run(Duration duration) {
        time.runUntil(time.now().plus(duration), () -> false);
    }

    /** Cuts the first failure domains off from the others; 0 ends the cut. */
    void cut(int domains) {
        cutDomains = domains;
    }

    /** Gives the two watchers of each failure domain that is not cut off a newer configuration. */
    void newConfiguration() {
        watchers()
                .forEach(member -> member.install(
                        Digest.of(member.digest.configurationVersion() + 1, member.digest.seatTableVersion())));
    }

    /** Gives a newer seat table to one member and, as the platform's watch does, to the watchers. */
    void newSeatTable() {
        Digest newer = Digest.of(
                members.get(0).digest.configurationVersion(),
                members.get(members.size() - 1).digest.seatTableVersion() + 1);
        members.get(members.size() - 1).install(newer);
        watchers().forEach(member -> member.install(newer));
    }

    private List<Member> watchers() {
        return members.stream()
                .filter(member -> member.index / Fleet.DOMAINS < SeatTable.WATCHERS_PER_DOMAIN && !member.isCutOff())
                .toList();
    }

    /** Runs until all members have the newest documents, and returns how long that took. */
    Duration settle(Duration bound) {
        Duration start = time.now();
        Digest newest = members.stream().map(member -> member.digest).reduce(Digest.NONE, Digest::merge);
        boolean settled = time.runUntil(
                start.plus(bound), () -> members.stream().allMatch(member -> member.digest.equals(newest)));
        if (!settled) {
            throw new IllegalStateException("the documents did not reach all members within " + bound);
        }
        return time.now().minus(start);
    }

    /** Returns the bytes of all messages so far, counted once at the sender and once at the receiver, per member. */
    double bytesPerMember() {
        return 2.0 * messageBytes / members.size();
    }

    /** Returns how many documents were sent so far, per member. */
    double copiesPerMember() {
        return (double) newsCopies / members.size();
    }

    private int newsBytes(DocumentSelection plan) {
        newsCopies += (plan.configurationSince().isPresent() ? 1 : 0) + (plan.seatTable() ? 1 : 0);
        return (plan.configurationSince().isPresent() ? sizes.change : 0) + (plan.seatTable() ? sizes.table : 0);
    }

    private final class Member {
        private final int index;
        private final PeerExchange exchange;
        private Digest digest = Digest.of(1, 1);

        Member(int index, Random random) {
            this.index = index;
            this.exchange =
                    PeerExchange.create(Fleet.address(index), Fleet.domain(index % Fleet.DOMAINS), List.of(), random);
            exchange.onSeatTable(table);
        }

        boolean isCutOff() {
            return index % Fleet.DOMAINS < cutDomains;
        }

        void round() {
            contact(exchange.round(digest));
            time.after(PeerExchange.ROUND_INTERVAL, this::round);
        }

        void install(Digest newer) {
            Digest merged = digest.merge(newer);
            if (!merged.equals(digest)) {
                digest = merged;
                contact(exchange.push(digest));
            }
        }

        private void contact(List<OutgoingExchange> contacts) {
            for (OutgoingExchange contact : contacts) {
                Member peer = byAddress.get(contact.address());
                messageBytes += sizes.request + newsBytes(contact.documents());
                Digest sent = digest;
                if (peer.isCutOff() == isCutOff()) {
                    time.after(ONE_WAY, () -> peer.receive(this, sent, contact));
                }
            }
        }

        private void receive(Member sender, Digest theirs, OutgoingExchange contact) {
            installParts(theirs, contact.documents());
            exchange.onDigest(Fleet.address(sender.index), theirs);
            DocumentSelection plan = DocumentSelection.between(digest, theirs);
            messageBytes += sizes.response + newsBytes(plan);
            Digest answered = digest;
            if (isCutOff() == sender.isCutOff()) {
                time.after(ONE_WAY, () -> sender.answered(contact, answered, plan));
            }
        }

        private void answered(OutgoingExchange contact, Digest theirs, DocumentSelection plan) {
            installParts(theirs, plan);
            Optional<OutgoingExchange> next = exchange.onResponse(contact, theirs, digest);
            next.ifPresent(again -> contact(List.of(again)));
        }

        private void installParts(Digest theirs, DocumentSelection plan) {
            install(Digest.of(
                    plan.configurationSince().isPresent() ? theirs.configurationVersion() : 0,
                    plan.seatTable() ? theirs.seatTableVersion() : 0));
        }
    }
}
