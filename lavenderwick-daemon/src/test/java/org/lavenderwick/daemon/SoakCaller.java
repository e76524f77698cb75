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

/** A client that opens one session after another and runs random statements and transactions. */
final class SoakCaller implements Runnable {

    private static final int ITEMS = 5;
    private static final int ATTEMPTS_PER_SESSION = 30;

    /** Counter shared by all clients, so that session numbers, statement ids and written values are unique. */
    private static final AtomicLong NEXT_NUMBER = new AtomicLong();

    private final SoakHistory history;
    private final Map<Freshness, String> databases;
    private final Supplier<InetSocketAddress> daemonAddresses;
    private final Random random;
    private final List<String> unanswered;
    private volatile boolean stopped;

    private SessionClient client;
    private long session;
    private Map<String, String> variables = Map.of();

    /**
     * Creates a client.
     *
     * @param databases the database for each freshness
     * @param daemonAddresses returns the address of a daemon to connect to
     * @param unanswered collects the statements whose response timed out on an open connection
     */
    SoakCaller(
            SoakHistory history,
            Map<Freshness, String> databases,
            Supplier<InetSocketAddress> daemonAddresses,
            Random random,
            List<String> unanswered) {
        this.history = history;
        this.databases = databases;
        this.daemonAddresses = daemonAddresses;
        this.random = random;
        this.unanswered = unanswered;
    }

    void stop() {
        stopped = true;
    }

    @Override
    public void run() {
        Freshness[] freshnesses = Freshness.values();
        while (!stopped) {
            Freshness freshness = freshnesses[random.nextInt(freshnesses.length)];
            try (SessionClient opened = SessionClient.open(daemonAddresses.get(), databases.get(freshness))) {
                client = opened;
                session = NEXT_NUMBER.incrementAndGet();
                variables = Map.of();
                for (int index = 0; index < ATTEMPTS_PER_SESSION && !stopped; index++) {
                    if (!runAttempt(freshness)) {
                        break;
                    }
                    Thread.sleep(random.nextInt(10));
                }
            } catch (IOException e) {
                pauseBeforeReconnect();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private static void pauseBeforeReconnect() {
        try {
            Thread.sleep(20);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Runs one attempt and returns whether the session can run another one. */
    private boolean runAttempt(Freshness freshness) {
        switch (random.nextInt(6)) {
            case 0 -> {
                return setVariable();
            }
            case 1, 2 -> {
                return runAutocommit(freshness, randomRead());
            }
            case 3 -> {
                return runAutocommit(freshness, randomWrite());
            }
            default -> {
                return runTransaction(freshness);
            }
        }
    }

    private boolean setVariable() {
        String value = "v" + random.nextInt(3);
        Statement set = send("SET zone " + value, "", "");
        if (set.succeeded()) {
            Map<String, String> next = new HashMap<>(variables);
            next.put("zone", value);
            variables = Map.copyOf(next);
        }
        return set.succeeded();
    }

    private boolean runAutocommit(Freshness freshness, String[] words) {
        Statement statement = send(String.join(" ", words), words[1], words.length > 2 ? words[2] : "");
        history.recordAttempt(new Attempt(
                freshness,
                statement.sentAt(),
                List.of(statement),
                false,
                words.length > 2 ? Optional.of(statement) : Optional.empty()));
        return isIdle(statement);
    }

    private boolean runTransaction(Freshness freshness) {
        List<Statement> statements = new ArrayList<>();
        statements.add(send("BEGIN", "", ""));
        boolean open = statements.get(0).succeeded();
        int length = 1 + random.nextInt(3);
        for (int index = 0; open && index < length; index++) {
            String[] words = random.nextBoolean() ? randomRead() : randomWrite();
            Statement statement = send(String.join(" ", words), words[1], words.length > 2 ? words[2] : "");
            statements.add(statement);
            open = statement.succeeded();
        }
        Optional<Statement> commit = Optional.empty();
        Statement last = statements.get(statements.size() - 1);
        if (open) {
            boolean commits = random.nextInt(5) > 0;
            last = send(commits ? "COMMIT" : "ROLLBACK", "", "");
            statements.add(last);
            commit = commits ? Optional.of(last) : Optional.empty();
        }
        history.recordAttempt(new Attempt(freshness, statements.get(0).sentAt(), statements, true, commit));
        return isIdle(last);
    }

    private String[] randomRead() {
        return new String[] {"READ", "i" + random.nextInt(ITEMS)};
    }

    private String[] randomWrite() {
        return new String[] {"WRITE", "i" + random.nextInt(ITEMS), "w" + NEXT_NUMBER.incrementAndGet()};
    }

    private static boolean isIdle(Statement statement) {
        return statement.response().stream().anyMatch(line -> line.startsWith("READY I"));
    }

    private Statement send(String text, String item, String written) {
        String id = "s" + NEXT_NUMBER.incrementAndGet();
        history.recordSentId(id);
        Duration sentAt = Duration.ofNanos(System.nanoTime());
        List<String> response = List.of();
        try {
            response = client.query(id, text);
        } catch (SocketTimeoutException e) {
            unanswered.add(text + " of session " + session);
        } catch (IOException e) {
            // The connection closed, so it is unknown whether the statement ran.
            response = List.of();
        }
        return new Statement(
                id, session, item, written, variables, sentAt, Duration.ofNanos(System.nanoTime()), response);
    }
}
