package org.lavenderwick.core.propagation;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

import com.google.common.collect.ImmutableList;
import org.lavenderwick.core.time.Backoff;

/**
 * The sources from which a daemon reads the changes of the store, and the decision which of them to use now.
 *
 * <p>A daemon uses two sources side by side, so that one that hangs never delays the other: the feed of another daemon,
 * and the store itself. A watcher always reads the store, and has the feed of a watcher in another failure domain for
 * the time in which the store does not respond to it. All other daemons read a feed. They read the store only while no
 * feed delivers content that is recent enough, a standby early and a follower as the last resort, because a store that
 * is down would otherwise get the calls of the whole fleet.
 *
 * <p>Answers this pattern: the store leaves a third of the daemons without any response, watchers among them, while the
 * operator changes the configuration several times a second. Not thread-safe.
 *
 * @param <S> identifies a daemon that has a feed
 */
public final class ChangeSources<S> {

    /**
     * The maximum change delay is divided by this to get the longest time that a watch of the store takes. Only its end
     * shows that there are no later changes.
     */
    private static final int WATCH_TIME_DIVISOR = 3;

    /**
     * The maximum change delay is divided by this to get the age above which the content of a feed is too old. The rest
     * of the delay is left for the change to another source.
     */
    private static final int MAX_AGE_DIVISOR = 2;

    /** The maximum change delay is multiplied by this to get the age above which a follower reads the store. */
    private static final double LAST_RESORT_FACTOR = 0.75;

    /** Time without a feed after which a standby reads the store. Enough to try two other feeds. */
    static final Duration FEED_GRACE = Duration.ofSeconds(1);

    /** Time without any content after which a starting daemon reads from the daemons named in its settings. */
    static final Duration SEED_DELAY = Duration.ofMillis(300);

    /** Interval at which a feed sends its age if it has nothing else to send. */
    public static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(500);

    /** Longest time without anything from a feed: three heartbeats. */
    private static final Duration MAX_SILENCE = HEARTBEAT_INTERVAL.multipliedBy(3);

    /** Time without anything from a feed that is always allowed: one heartbeat and its delay. */
    private static final Duration MIN_SILENCE = Duration.ofMillis(700);

    /** First time for which a failed feed is not selected again; doubles with each further failure of that feed. */
    private static final Duration MIN_EXCLUSION = Duration.ofMillis(500);

    /** Longest time for which a failed feed is not selected again. */
    private static final Duration MAX_EXCLUSION = Duration.ofSeconds(4);

    /** Time for which an offer is used. A daemon with recent content repeats it while it finds this one outdated. */
    static final Duration OFFER_LIFETIME = Duration.ofSeconds(5);

    /** Maximum number of offers that are kept; one that holds is enough. */
    private static final int MAX_OFFERS = 4;

    private record Exclusion(Duration failedAt, Duration length) {}

    private final Duration lastResortAge;
    private final Duration maxWatchTime;
    private final Duration maxAge;
    private final Backoff storeBackoff;
    private final List<S> seeds;
    private final Duration createdAt;
    private final Map<S, Exclusion> exclusions = new HashMap<>();
    private final Map<S, Duration> offers = new LinkedHashMap<>();
    private List<S> feeds = ImmutableList.of();
    private StoreRole role = StoreRole.WATCHER;
    private boolean feedOpen;
    private Duration feedLostAt;
    private Duration nextStoreReadAt;
    private boolean storeFailing;

    private ChangeSources(Duration maxChangeDelay, Backoff storeBackoff, List<S> seeds, Duration createdAt) {
        this.lastResortAge = Duration.ofNanos((long) (maxChangeDelay.toNanos() * LAST_RESORT_FACTOR));
        this.maxWatchTime = maxChangeDelay.dividedBy(WATCH_TIME_DIVISOR);
        this.maxAge = maxChangeDelay.dividedBy(MAX_AGE_DIVISOR);
        this.storeBackoff = storeBackoff;
        this.seeds = ImmutableList.copyOf(seeds);
        this.createdAt = createdAt;
        this.feedLostAt = createdAt;
        this.nextStoreReadAt = createdAt;
    }

    /**
     * Returns the sources of a daemon that knows no other daemons yet and therefore watches the store.
     *
     * @param maxChangeDelay time within which a change must have arrived
     * @param storeBackoff delays between calls to the store while it does not respond
     * @param seeds daemons to read from while nothing is known, whatever the age of their content, and while no feed is
     *     recent enough
     */
    public static <S> ChangeSources<S> create(
            Duration maxChangeDelay, Backoff storeBackoff, List<S> seeds, Duration now) {
        return new ChangeSources<>(maxChangeDelay, storeBackoff, seeds, now);
    }

    /**
     * Sets the role of this daemon and the feeds that it may read.
     *
     * @param newFeeds the feeds in the order of preference
     */
    public void update(StoreRole newRole, List<S> newFeeds) {
        role = newRole;
        feeds = ImmutableList.copyOf(newFeeds);
        exclusions.keySet().removeIf(feed -> !feeds.contains(feed) && !seeds.contains(feed));
    }

    /**
     * Records that a daemon has offered its feed, because it found the content of this one too old and has recent
     * content itself. This daemon may not know it otherwise: one that starts after this one has lost all sources is in
     * no content that this one has.
     */
    public void onOffer(S feed, ContentVersion content, Duration now) {
        if (content.isKnown() && !isTooOld(content, now)) {
            return;
        }
        offers.remove(feed);
        offers.put(feed, now);
        if (offers.size() > MAX_OFFERS) {
            offers.remove(offers.keySet().iterator().next());
        }
    }

    /** Returns whether this daemon should offer its own feed to one whose content is too old. */
    public boolean canOffer(ContentVersion content, Duration now) {
        return content.isKnown() && !isTooOld(content, now);
    }

    /**
     * Returns the feed to read next; empty if there is none at the moment. While the content is recent this is the most
     * preferred one that has not failed lately. While it is too old, the feeds are tried in turn instead, so that some
     * that keep failing do not hide one that works; feeds that were offered come first.
     */
    public Optional<S> selectFeed(ContentVersion content, Duration now) {
        if (!content.isKnown()) {
            return now.minus(createdAt).compareTo(SEED_DELAY) < 0 ? Optional.empty() : firstUsable(seeds, now);
        }
        if (!isTooOld(content, now)) {
            return firstUsable(feeds, now);
        }
        offers.values().removeIf(offeredAt -> offeredAt.plus(OFFER_LIFETIME).compareTo(now) < 0);
        return offers.keySet().stream().findFirst().or(this::leastRecentlyFailed);
    }

    private boolean isTooOld(ContentVersion content, Duration now) {
        return now.minus(content.currentAt()).compareTo(maxAge) > 0;
    }

    private Optional<S> firstUsable(List<S> candidates, Duration now) {
        return candidates.stream()
                .filter(feed -> !exclusions.containsKey(feed) || isExclusionOver(exclusions.get(feed), now))
                .findFirst();
    }

    private static boolean isExclusionOver(Exclusion exclusion, Duration now) {
        return exclusion.failedAt().plus(exclusion.length()).compareTo(now) <= 0;
    }

    private Optional<S> leastRecentlyFailed() {
        // The seeds are for a daemon that lost the store before it learned of any other daemon.
        return Stream.concat(feeds.stream(), seeds.stream())
                .min(Comparator.comparing(feed -> Optional.ofNullable(exclusions.get(feed))
                        .map(Exclusion::failedAt)
                        .orElse(Duration.ZERO)));
    }

    /**
     * Returns whether a feed that is being read should be read further: until a more preferred one may be tried again,
     * or it may no longer be read at all.
     */
    public boolean isPreferred(S feed, ContentVersion content, Duration now) {
        if (content.isKnown() && isTooOld(content, now)) {
            return feeds.contains(feed) || seeds.contains(feed) || offers.containsKey(feed);
        }
        return firstUsable(content.isKnown() ? feeds : seeds, now)
                .filter(feed::equals)
                .isPresent();
    }

    /** Records that the feed has delivered a batch, and returns whether the content of the feed is recent enough. */
    public boolean onFeedBatch(S feed, Duration age) {
        if (age.compareTo(maxAge) > 0) {
            return false;
        }
        feedOpen = true;
        exclusions.remove(feed);
        return true;
    }

    /**
     * Returns how long to wait for the next batch of a feed before it counts as failed. The older the content already
     * is, the less time is left to change to another feed.
     */
    public Duration feedTimeout(ContentVersion content, Duration now) {
        if (!content.isKnown()) {
            return MAX_SILENCE;
        }
        Duration untilTooOld = content.currentAt().plus(maxAge).minus(now);
        return max(MIN_SILENCE, min(MAX_SILENCE, untilTooOld));
    }

    /** Records that the feed could not be opened, has failed, or has delivered content that is too old. */
    public void onFeedFailed(S feed, Duration now) {
        offers.remove(feed);
        Exclusion last = exclusions.get(feed);
        Duration length = last == null ? MIN_EXCLUSION : last.length().multipliedBy(2);
        length = length.compareTo(MAX_EXCLUSION) < 0 ? length : MAX_EXCLUSION;
        exclusions.put(feed, new Exclusion(now, length));
        onFeedClosed(now);
    }

    /** Records that the feed is no longer read. */
    public void onFeedClosed(Duration now) {
        if (feedOpen) {
            feedOpen = false;
            feedLostAt = now;
        }
    }

    /** Returns how long to wait before the next call to the store; zero or negative if it is due now. */
    public Duration storeDelay(ContentVersion content, Duration now) {
        Duration retry = nextStoreReadAt.minus(now);
        if (!content.isKnown() || role == StoreRole.WATCHER || feeds.isEmpty()) {
            return retry;
        }
        if (role == StoreRole.FOLLOWER) {
            return max(retry, content.currentAt().plus(lastResortAge).minus(now));
        }
        Duration untilTooOld = content.currentAt().plus(maxAge).minus(now);
        Duration untilFeedMissed =
                feedOpen ? untilTooOld : feedLostAt.plus(FEED_GRACE).minus(now);
        return max(retry, min(untilTooOld, untilFeedMissed));
    }

    private static Duration min(Duration a, Duration b) {
        return a.compareTo(b) < 0 ? a : b;
    }

    private static Duration max(Duration a, Duration b) {
        return a.compareTo(b) > 0 ? a : b;
    }

    /**
     * Returns how long the next call to the store may wait for changes. Zero while the store is failing, because a call
     * that does not wait shows soonest whether it responds again.
     */
    public Duration maxStoreWait(ContentVersion content, Duration now) {
        if (storeFailing || !content.isKnown()) {
            return Duration.ZERO;
        }
        Duration watchEndsAt = content.currentAt().plus(maxWatchTime);
        return max(Duration.ZERO, watchEndsAt.minus(now));
    }

    /** Records that the store has responded; returns whether the call before had failed. */
    public boolean onStoreResponse() {
        boolean recovered = storeFailing;
        storeFailing = false;
        storeBackoff.reset();
        return recovered;
    }

    /** Records that the store has not responded; returns whether the call before had succeeded. */
    public boolean onStoreFailure(Duration now) {
        boolean first = !storeFailing;
        storeFailing = true;
        nextStoreReadAt = now.plus(storeBackoff.nextDelay());
        return first;
    }
}
