package org.lavenderwick.daemon.control;

import java.io.IOException;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.jboss.logging.Logger;
import org.lavenderwick.adapters.json.JsonMappers;
import org.lavenderwick.core.configuration.Configuration;
import org.lavenderwick.core.configuration.ConfigurationChanges;
import org.lavenderwick.core.membership.Digest;
import org.lavenderwick.core.membership.Seat;
import org.lavenderwick.core.membership.SeatTable;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.protocol.WireDigest;
import org.lavenderwick.protocol.WireSeat;
import org.lavenderwick.protocol.WireSeatTable;

/** Converter between the shared documents and their form in messages between daemons. Thread-safe. */
final class WireDocuments {
    private static final Logger LOG = Logger.getLogger(WireDocuments.class);

    private final JsonMapper mapper = JsonMappers.create();

    static WireDigest toWire(Digest digest) {
        return new WireDigest(digest.configurationVersion(), digest.seatTableVersion());
    }

    static Digest fromWire(WireDigest digest) {
        return Digest.of(digest.getConfigurationVersion(), digest.getSeatTableVersion());
    }

    static WireSeatTable toWire(SeatTable table) {
        List<WireSeat> seats = table.seats().stream()
                .map(seat -> new WireSeat(
                        seat.number(),
                        seat.failureDomain().value(),
                        seat.daemon().value(),
                        seat.incarnation(),
                        seat.address(),
                        seat.leaving()))
                .toList();
        return new WireSeatTable(table.version(), seats);
    }

    /** Returns the seat table in a message; empty if it is malformed. */
    static Optional<SeatTable> fromWire(WireSeatTable table) {
        try {
            List<Seat> seats = table.getSeats().stream()
                    .map(seat -> new Seat(
                            seat.getNumber(),
                            FailureDomain.of(seat.getFailureDomain()),
                            DaemonName.of(seat.getDaemon()),
                            seat.getIncarnation(),
                            seat.getAddress(),
                            seat.isLeaving()))
                    .toList();
            return Optional.of(new SeatTable(table.getVersion(), seats));
        } catch (IllegalArgumentException e) {
            LOG.errorf("[exchange] Ignored a malformed seat table from a peer: %s", e.getMessage());
            return Optional.empty();
        }
    }

    /** Returns the document as JSON text in UTF-8. */
    byte[] toJson(Object document) {
        try {
            return mapper.writeValueAsBytes(document);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("failed to serialize a document", e);
        }
    }

    /** Returns the configuration in a JSON text; empty if the text is malformed. */
    Optional<Configuration> configuration(byte[] json) {
        return parse(json, Configuration.class);
    }

    /** Returns the configuration changes in a JSON text; empty if the text is malformed. */
    Optional<ConfigurationChanges> changes(byte[] json) {
        return parse(json, ConfigurationChanges.class);
    }

    private <T> Optional<T> parse(byte[] json, Class<T> type) {
        try {
            return Optional.of(mapper.readValue(json, type));
        } catch (IOException | IllegalArgumentException e) {
            LOG.errorf("[configuration] Ignored a malformed configuration document: %s", e.getMessage());
            return Optional.empty();
        }
    }
}
