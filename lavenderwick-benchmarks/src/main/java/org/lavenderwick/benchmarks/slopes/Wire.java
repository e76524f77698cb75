package org.lavenderwick.benchmarks.slopes;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TBinaryProtocol;
import org.apache.thrift.protocol.TMessage;
import org.apache.thrift.protocol.TMessageType;
import org.apache.thrift.transport.TMemoryBuffer;
import org.apache.thrift.transport.layered.TFramedTransport;
import org.lavenderwick.adapters.json.JsonMappers;
import org.lavenderwick.core.membership.SeatTable;
import org.lavenderwick.protocol.ExchangeRequest;
import org.lavenderwick.protocol.ExchangeResponse;
import org.lavenderwick.protocol.PeerService;
import org.lavenderwick.protocol.WireDigest;
import org.lavenderwick.protocol.WireNews;
import org.lavenderwick.protocol.WireSeat;
import org.lavenderwick.protocol.WireSeatTable;

/** Encodes documents and messages as the daemon does: JSON, and framed binary Thrift between daemons. */
final class Wire {
    static final JsonMapper JSON = JsonMappers.create();

    private Wire() {}

    static byte[] json(Object document) {
        try {
            return JSON.writeValueAsBytes(document);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a document cannot be written", e);
        }
    }

    static <T> T parse(byte[] json, Class<T> type) {
        try {
            return JSON.readValue(json, type);
        } catch (IOException e) {
            throw new IllegalStateException("a document cannot be read", e);
        }
    }

    static WireSeatTable wire(SeatTable table) {
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

    static ExchangeRequest request(WireNews news) {
        ExchangeRequest request = new ExchangeRequest(
                Fleet.daemon(1).value(), 1_790_000_000_000L, Fleet.domain(1).value(), new WireDigest(1000, 1000));
        if (news != null) {
            request.setNews(news);
        }
        return request;
    }

    /** Returns the frame of a call. */
    static byte[] frame(ExchangeRequest request) {
        try {
            TMemoryBuffer buffer = new TMemoryBuffer(256);
            new PeerService.Client(new TBinaryProtocol(new TFramedTransport(buffer))).send_exchange(request);
            return Arrays.copyOf(buffer.getArray(), buffer.length());
        } catch (TException e) {
            throw new IllegalStateException("a message cannot be written", e);
        }
    }

    /** Returns the frame of an answer. */
    static byte[] frame(ExchangeResponse response) {
        try {
            TMemoryBuffer buffer = new TMemoryBuffer(256);
            TBinaryProtocol protocol = new TBinaryProtocol(new TFramedTransport(buffer));
            PeerService.exchange_result result = new PeerService.exchange_result();
            result.setSuccess(response);
            protocol.writeMessageBegin(new TMessage("exchange", TMessageType.REPLY, 1));
            result.write(protocol);
            protocol.writeMessageEnd();
            protocol.getTransport().flush();
            return Arrays.copyOf(buffer.getArray(), buffer.length());
        } catch (TException e) {
            throw new IllegalStateException("a message cannot be written", e);
        }
    }

    /** Reads the frame of a call. */
    static ExchangeRequest parseRequest(byte[] frame) {
        try {
            TMemoryBuffer buffer = new TMemoryBuffer(frame.length);
            buffer.write(frame);
            TBinaryProtocol protocol = new TBinaryProtocol(new TFramedTransport(buffer));
            protocol.readMessageBegin();
            PeerService.exchange_args arguments = new PeerService.exchange_args();
            arguments.read(protocol);
            return arguments.getRequest();
        } catch (TException e) {
            throw new IllegalStateException("a message cannot be read", e);
        }
    }
}
