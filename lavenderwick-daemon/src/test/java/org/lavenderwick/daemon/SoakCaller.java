package org.lavenderwick.daemon;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

import org.lavenderwick.daemon.SoakHistory.Attempt;
import org.lavenderwick.daemon.SoakHistory.Freshness;
import org.lavenderwick.daemon.SoakHistory.Statement;
import org.lavenderwick.platform.standin.SessionClient;

/** A caller that opens one session after another and runs random statements and transactions. */
final class SoakCaller implements Runnable {

    private static final int ITEMS = 5;
    private static final int ATTEMPTS_PER_SESSION = 30;

    /** Counter shared by all callers, which makes the ids and values of their statements unique. */
    private static final AtomicLong NUMBERS = new AtomicLong();

    private final SoakHistory history;
    private final Map<Freshness, String> databases;
    private final Supplier<InetSocketAddress> daemons;
    private final Random random;
    private final List<String> unanswered;
    private volatile boolean stopped;

    private SessionClient client;
    private long session;
    private Map<String, String> values = Map.of();

    /**
     * Creates a caller.
     *
     * @param databases the database for each freshness of reads
     * @param daemons supplies the address of the daemon for the next session
     * @param unanswered receives the statements that timed out without a response on an open connection
     */
    SoakCaller(
            SoakHistory history,
            Map<Freshness, String> databases,
            Supplier<InetSocketAddress> daemons,
            Random random,
            List<String> unanswered) {
        this.history = history;
        this.databases = databases;
        this.daemons = daemons;
        this.random = random;
        this.unanswered = unanswered;
    }

    void stop() {
        stopped = true;
    }

    @Override
    public void run() {
        Freshness[] kinds = Freshness.values();
        while (!stopped) {
            Freshness freshness = kinds[random.nextInt(kinds.length)];
            try (SessionClient opened = SessionClient.open(daemons.get(), databases.get(freshness))) {
                client = opened;
                session = NUMBERS.incrementAndGet();
                values = Map.of();
                for (int index = 0; index < ATTEMPTS_PER_SESSION && !stopped; index++) {
                    if (!attempt(freshness)) {
                        break;
                    }
                    Thread.sleep(random.nextInt(10));
                }
            } catch (IOException e) {
                pause();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private static void pause() {
        try {
            Thread.sleep(20);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Runs one attempt and returns whether the session can continue. */
    private boolean attempt(Freshness freshness) {
        switch (random.nextInt(6)) {
            case 0 -> {
                return setValue();
            }
            case 1, 2 -> {
                return single(freshness, read());
            }
            case 3 -> {
                return single(freshness, write());
            }
            default -> {
                return transaction(freshness);
            }
        }
    }

    private boolean setValue() {
        String value = "v" + random.nextInt(3);
        Statement set = send("SET zone " + value, "", "");
        if (set.succeeded()) {
            Map<String, String> next = new HashMap<>(values);
            next.put("zone", value);
            values = Map.copyOf(next);
        }
        return set.succeeded();
    }

    private boolean single(Freshness freshness, String[] words) {
        Statement statement = send(String.join(" ", words), words[1], words.length > 2 ? words[2] : "");
        history.add(new Attempt(
                freshness,
                statement.sentAt(),
                List.of(statement),
                false,
                words.length > 2 ? Optional.of(statement) : Optional.empty()));
        return isIdle(statement);
    }

    private boolean transaction(Freshness freshness) {
        List<Statement> statements = new ArrayList<>();
        statements.add(send("BEGIN", "", ""));
        boolean open = statements.get(0).succeeded();
        int length = 1 + random.nextInt(3);
        for (int index = 0; open && index < length; index++) {
            String[] words = random.nextBoolean() ? read() : write();
            Statement statement = send(String.join(" ", words), words[1], words.length > 2 ? words[2] : "");
            statements.add(statement);
            open = statement.succeeded();
        }
        Optional<Statement> commit = Optional.empty();
        Statement last = statements.get(statements.size() - 1);
        if (open) {
            boolean keep = random.nextInt(5) > 0;
            last = send(keep ? "COMMIT" : "ROLLBACK", "", "");
            statements.add(last);
            commit = keep ? Optional.of(last) : Optional.empty();
        }
        history.add(new Attempt(freshness, statements.get(0).sentAt(), statements, true, commit));
        return isIdle(last);
    }

    private String[] read() {
        return new String[] {"READ", "i" + random.nextInt(ITEMS)};
    }

    private String[] write() {
        return new String[] {"WRITE", "i" + random.nextInt(ITEMS), "w" + NUMBERS.incrementAndGet()};
    }

    private static boolean isIdle(Statement statement) {
        return statement.answer().stream().anyMatch(line -> line.startsWith("READY I"));
    }

    private Statement send(String text, String item, String written) {
        String id = "s" + NUMBERS.incrementAndGet();
        history.sends(id);
        Duration sentAt = Duration.ofNanos(System.nanoTime());
        List<String> answer = List.of();
        try {
            answer = client.query(id, text);
        } catch (SocketTimeoutException e) {
            unanswered.add(text + " of session " + session);
        } catch (IOException e) {
            // The connection was closed, which leaves the outcome of the statement unknown.
            answer = List.of();
        }
        return new Statement(id, session, item, written, values, sentAt, Duration.ofNanos(System.nanoTime()), answer);
    }
}
