package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** Stand-in of the platform's metadata store, as the page on it says. It has no faults of its own. */
final class Store {

    private static final JsonMapper MAPPER = new JsonMapper();

    private record Item(String value, long rev, long created, long lease) {}

    private record Event(long rev, String key, Item item) {}

    private static final class Lease {
        private final long ttlMs;
        private long endsAt;

        private Lease(long ttlMs) {
            this.ttlMs = ttlMs;
            renew();
        }

        private void renew() {
            endsAt = System.nanoTime() + ttlMs * 1_000_000;
        }
    }

    private final HttpServer server;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> history = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 100;
    private long nextLease = 5000;

    Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 200);
        server.createContext("/lavenderwick/", this::handle);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "store");
            thread.setDaemon(true);
            return thread;
        }));
        server.start();
        Thread expiry = new Thread(this::expire, "leases");
        expiry.setDaemon(true);
        expiry.start();
    }

    InetSocketAddress address() {
        return server.getAddress();
    }

    private void expire() {
        while (true) {
            synchronized (this) {
                long now = System.nanoTime();
                for (long id : List.copyOf(leases.keySet())) {
                    if (leases.get(id).endsAt <= now) {
                        endLease(id);
                    }
                }
            }
            try {
                Thread.sleep(10);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Writes an item of the operator or a server. */
    synchronized void put(String key, String value) {
        write(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
    }

    synchronized void remove(String key) {
        if (items.remove(key) != null) {
            history.add(new Event(++revision, key, null));
            notifyAll();
        }
    }

    synchronized String text(String key) {
        Item item = items.get(key);
        return item == null ? null : new String(Base64.getDecoder().decode(item.value()), StandardCharsets.UTF_8);
    }

    private void write(String key, String value, long lease) {
        revision++;
        Item before = items.get(key);
        Item item = new Item(value, revision, before == null ? revision : before.created(), lease);
        items.put(key, item);
        history.add(new Event(revision, key, item));
        notifyAll();
    }

    private void endLease(long id) {
        leases.remove(id);
        List<String> keys = new ArrayList<>();
        items.forEach((key, item) -> {
            if (item.lease() == id) {
                keys.add(key);
            }
        });
        keys.forEach(this::remove);
    }

    private void handle(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        String path = exchange.getRequestURI().getPath().substring("/lavenderwick/".length());
        Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
        ObjectNode response = MAPPER.createObjectNode();
        int status;
        synchronized (this) {
            status = answer(path, query, body, response);
        }
        byte[] bytes = MAPPER.writeValueAsBytes(response);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private int answer(String path, Map<String, String> query, byte[] body, ObjectNode response) throws IOException {
        switch (path) {
            case "kv-key":
                Item item = items.get(query.get("key"));
                if (item == null) {
                    return 404;
                }
                show(response, query.get("key"), item).put("asOf", revision);
                return 200;
            case "kv-range":
                ArrayNode list = response.putArray("items");
                items.forEach((key, found) -> {
                    if (key.startsWith(query.getOrDefault("prefix", ""))
                            && key.compareTo(query.getOrDefault("after", "")) > 0) {
                        show(list.addObject(), key, found);
                    }
                });
                response.put("hasMore", false).put("asOf", revision);
                return 200;
            case "kv-watch":
                return watch(query, response);
            case "kv-txn":
                return transact(MAPPER.readTree(body), response);
            case "kv-lease":
                long ttl = Math.max(1000, MAPPER.readTree(body).path("ttlMs").asLong());
                long id = nextLease++;
                leases.put(id, new Lease(ttl));
                response.put("lease", id).put("ttlMs", ttl);
                return 200;
            default:
                break;
        }
        long id = Long.parseLong(path.substring(path.indexOf('/') + 1));
        Lease lease = leases.get(id);
        if (lease == null) {
            return 404;
        }
        if (path.startsWith("kv-keep/")) {
            lease.renew();
            response.put("lease", id).put("ttlMs", lease.ttlMs);
        } else {
            endLease(id);
        }
        return 200;
    }

    private int watch(Map<String, String> query, ObjectNode response) {
        long after = Long.parseLong(query.get("after"));
        String prefix = query.getOrDefault("prefix", "");
        long end = System.nanoTime() + Long.parseLong(query.get("waitMs")) * 1_000_000;
        try {
            while (System.nanoTime() < end
                    && (history.isEmpty() || history.get(history.size() - 1).rev() <= after)) {
                wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        ArrayNode events = response.putArray("events");
        for (Event event : history) {
            if (event.rev() > after && event.key().startsWith(prefix)) {
                if (event.item() == null) {
                    events.addObject().put("key", event.key()).put("rev", event.rev()).put("removed", true);
                } else {
                    show(events.addObject(), event.key(), event.item());
                }
            }
        }
        response.put("asOf", revision);
        return 200;
    }

    private int transact(JsonNode body, ObjectNode response) {
        boolean holds = true;
        for (JsonNode row : body.path("precondition")) {
            Item item = items.get(row.path("key").asText());
            holds &= (item == null ? 0 : item.rev()) == row.path("rev").asLong();
        }
        if (!holds) {
            ArrayNode list = response.putArray("items");
            for (JsonNode row : body.path("precondition")) {
                Item item = items.get(row.path("key").asText());
                if (item != null) {
                    show(list.addObject(), row.path("key").asText(), item);
                }
            }
            return 412;
        }
        for (JsonNode row : body.path("writes")) {
            long lease = row.path("lease").asLong(0);
            if (lease != 0 && !leases.containsKey(lease)) {
                return 404;
            }
        }
        body.path("writes")
                .forEach(row -> write(
                        row.path("key").asText(),
                        row.path("value").asText(),
                        row.path("lease").asLong(0)));
        body.path("deletes").forEach(row -> remove(row.asText()));
        response.put("rev", revision);
        return 200;
    }

    private static ObjectNode show(ObjectNode node, String key, Item item) {
        return node.put("key", key)
                .put("value", item.value())
                .put("rev", item.rev())
                .put("created", item.created())
                .put("lease", item.lease());
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> query = new HashMap<>();
        if (raw != null) {
            for (String pair : raw.split("&")) {
                int equals = pair.indexOf('=');
                query.put(
                        pair.substring(0, equals),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }
}
