package org.lavenderwick.daemon.session;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import com.google.common.base.Splitter;
import org.lavenderwick.core.account.AccountName;
import org.lavenderwick.core.ratelimit.PartId;
import org.lavenderwick.core.ratelimit.PermitMessage;

/**
 * The lines in which daemons ask grantors for permits. A request is {@code PERMIT number version shard part}, a
 * response {@code PERMITS number shard part status lifetime}; the fields of each account follow. Names of accounts are
 * encoded as in URLs, since lines carry single bytes.
 */
final class PermitProtocol {

    private static final String REQUEST = "PERMIT ";
    private static final String RESPONSE = "PERMITS ";
    private static final int REQUEST_FIELDS = 4;
    private static final int RESPONSE_FIELDS = 5;
    private static final int ASK_FIELDS = 5;
    private static final int GRANTED_FIELDS = 3;

    /** A response with the part that it is about. */
    record Answer(PartId part, PermitMessage.Response response) {}

    private PermitProtocol() {}

    static boolean isRequest(String line) {
        return line.startsWith(REQUEST);
    }

    static String format(PermitMessage.Request request) {
        StringBuilder line = new StringBuilder(REQUEST)
                .append(request.number())
                .append(' ')
                .append(request.version())
                .append(' ')
                .append(request.part().shard())
                .append(' ')
                .append(request.part().part());
        for (PermitMessage.Ask ask : request.asks()) {
            line.append(' ').append(encode(ask.account())).append(' ').append(ask.held());
            line.append(' ').append(ask.returned()).append(' ').append(ask.waiting());
            line.append(' ').append(ask.ahead());
        }
        return line.toString();
    }

    static String format(PartId part, PermitMessage.Response response) {
        StringBuilder line = new StringBuilder(RESPONSE)
                .append(response.number())
                .append(' ')
                .append(part.shard())
                .append(' ')
                .append(part.part())
                .append(' ')
                .append(response.status())
                .append(' ')
                .append(response.lifetime().toMillis());
        for (PermitMessage.Granted granted : response.granted()) {
            line.append(' ').append(encode(granted.account())).append(' ').append(granted.total());
            line.append(' ').append(roundUp(granted.roomAfter()));
        }
        return line.toString();
    }

    private static long roundUp(Duration time) {
        return time.plusNanos(999_999).toMillis();
    }

    private static String encode(AccountName name) {
        return URLEncoder.encode(name.value(), StandardCharsets.UTF_8);
    }

    private static AccountName decode(String text) {
        return AccountName.of(URLDecoder.decode(text, StandardCharsets.UTF_8));
    }

    /** Returns the parsed request; empty if the line is not a valid one. */
    static Optional<PermitMessage.Request> parseRequest(String line) {
        return parse(line, REQUEST, REQUEST_FIELDS, ASK_FIELDS, words -> {
            List<PermitMessage.Ask> asks = new ArrayList<>();
            for (int at = REQUEST_FIELDS; at < words.size(); at += ASK_FIELDS) {
                asks.add(new PermitMessage.Ask(
                        decode(words.get(at)),
                        count(words.get(at + 1)),
                        count(words.get(at + 2)),
                        count(words.get(at + 3)),
                        count(words.get(at + 4))));
            }
            return new PermitMessage.Request(
                    count(words.get(0)), count(words.get(1)), part(words.get(2), words.get(3)), asks);
        });
    }

    /** Returns the parsed response; empty if the line is not a valid one. */
    static Optional<Answer> parseResponse(String line) {
        return parse(line, RESPONSE, RESPONSE_FIELDS, GRANTED_FIELDS, words -> {
            List<PermitMessage.Granted> granted = new ArrayList<>();
            for (int at = RESPONSE_FIELDS; at < words.size(); at += GRANTED_FIELDS) {
                granted.add(new PermitMessage.Granted(
                        decode(words.get(at)), count(words.get(at + 1)), Duration.ofMillis(count(words.get(at + 2)))));
            }
            return new Answer(
                    part(words.get(1), words.get(2)),
                    new PermitMessage.Response(
                            count(words.get(0)),
                            PermitMessage.Status.valueOf(words.get(3)),
                            Duration.ofMillis(count(words.get(4))),
                            granted));
        });
    }

    private static <T> Optional<T> parse(
            String line, String prefix, int fields, int repeated, Function<List<String>, T> parser) {
        if (!line.startsWith(prefix)) {
            return Optional.empty();
        }
        List<String> words = Splitter.on(' ').splitToList(line.substring(prefix.length()));
        if (words.size() < fields || (words.size() - fields) % repeated != 0) {
            return Optional.empty();
        }
        try {
            return Optional.of(parser.apply(words));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static long count(String text) {
        long value = Long.parseLong(text);
        if (value < 0) {
            throw new IllegalArgumentException("negative number");
        }
        return value;
    }

    private static PartId part(String shard, String part) {
        PartId id = new PartId((int) count(shard), (int) count(part));
        if (!PartId.ALL.contains(id)) {
            throw new IllegalArgumentException("no such part");
        }
        return id;
    }
}
