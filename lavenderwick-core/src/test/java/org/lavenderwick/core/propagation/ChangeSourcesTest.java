package org.lavenderwick.core.propagation;

import java.time.Duration;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lavenderwick.core.time.Backoff;

import static org.assertj.core.api.Assertions.assertThat;

class ChangeSourcesTest {

    private static final Duration BOUND = Duration.ofSeconds(4);

    private final ContentVersion content = ContentVersion.create();

    private static Duration at(long millis) {
        return Duration.ofMillis(millis);
    }

    private static ChangeSources<String> sources(List<String> seeds) {
        Backoff backoff = Backoff.create(Duration.ofMillis(50), Duration.ofMillis(800), new Random(1));
        return ChangeSources.create(BOUND, backoff, seeds, at(0));
    }

    private ChangeSources<String> subscriber(String... feeds) {
        ChangeSources<String> sources = sources(List.of());
        sources.update(StoreRole.STANDBY, List.of(feeds));
        content.accept(true, 10, at(0));
        return sources;
    }

    @Nested
    class Feeds {

        @Test
        void failedFeedIsReplacedAtOnceAndTriedAgainLater() {
            ChangeSources<String> sources = subscriber("a", "b");
            sources.onFeedFailed("a", at(100));
            assertThat(sources.selectFeed(content, at(100))).contains("b");
            assertThat(sources.isPreferred("b", content, at(200))).isTrue();
            assertThat(sources.selectFeed(content, at(700))).contains("a");
        }

        @Test
        void feedThatFailsAgainIsTriedLessOften() {
            ChangeSources<String> sources = subscriber("a", "b");
            sources.onFeedFailed("a", at(0));
            sources.onFeedFailed("a", at(500));
            assertThat(sources.selectFeed(content, at(1400))).contains("b");
            assertThat(sources.selectFeed(content, at(1500))).contains("a");
        }

        @Test
        void feedWithOldContentIsLeft() {
            ChangeSources<String> sources = subscriber("a", "b");
            assertThat(sources.onFeedBatch("a", at(2000))).isTrue();
            assertThat(sources.onFeedBatch("a", at(2001))).isFalse();
        }

        @Test
        void seedsAreReadOnlyWhileNothingIsKnown() {
            ChangeSources<String> sources = sources(List.of("seed"));
            assertThat(sources.selectFeed(content, at(100))).isEmpty();
            assertThat(sources.selectFeed(content, at(300))).contains("seed");
            content.accept(true, 3, at(200));
            assertThat(sources.selectFeed(content, at(300))).isEmpty();
        }
    }

    @Nested
    class OldContent {

        @Test
        void feedsAreTriedInTurn() {
            ChangeSources<String> sources = subscriber("a", "b", "c");
            sources.onFeedFailed("a", at(3000));
            sources.onFeedFailed("b", at(3400));
            // The exclusion of the first feed is over, yet the third one has not been tried.
            assertThat(sources.selectFeed(content, at(3600))).contains("c");
            sources.onFeedFailed("c", at(3700));
            assertThat(sources.selectFeed(content, at(3700))).contains("a");
        }

        /** A daemon that loses the store right after its start may not have learned of any other daemon. */
        @Test
        void seedsAreReadIfNoFeedIsKnown() {
            ChangeSources<String> sources = sources(List.of("seed"));
            content.accept(true, 3, at(0));
            assertThat(sources.selectFeed(content, at(1900))).isEmpty();
            assertThat(sources.selectFeed(content, at(2100))).contains("seed");
            assertThat(sources.isPreferred("seed", content, at(2100))).isTrue();
        }
    }

    @Nested
    class Offers {

        private final ChangeSources<String> sources = subscriber("a", "b");

        /** Guards against a daemon that reads outdated feeds in turn while one that it does not know has the store. */
        @Test
        void offeredFeedIsReadFirstWhileTheContentIsTooOld() {
            sources.onOffer("new", content, at(2100));
            assertThat(sources.selectFeed(content, at(2100))).contains("new");
            assertThat(sources.isPreferred("new", content, at(2100))).isTrue();
        }

        @Test
        void offerIsIgnoredWhileTheContentIsRecent() {
            sources.onOffer("new", content, at(1900));
            assertThat(sources.selectFeed(content, at(2100))).contains("a");
        }

        @Test
        void offeredFeedThatFailsIsNotTriedAgain() {
            sources.onOffer("new", content, at(2100));
            sources.onFeedFailed("new", at(2200));
            assertThat(sources.selectFeed(content, at(2200))).contains("a");
        }

        @Test
        void offerExpires() {
            sources.onOffer("new", content, at(2100));
            Duration expired = at(2101).plus(ChangeSources.OFFER_LIFETIME);
            assertThat(sources.selectFeed(content, expired)).contains("a");
        }

        @Test
        void onlyADaemonWithRecentContentOffersItsFeed() {
            assertThat(sources.canOffer(content, at(2000))).isTrue();
            assertThat(sources.canOffer(content, at(2001))).isFalse();
            assertThat(sources.canOffer(ContentVersion.create(), at(0))).isFalse();
        }
    }

    @Nested
    class Store {

        @Test
        void watcherReadsTheStoreBesideItsFeed() {
            ChangeSources<String> sources = subscriber("a");
            sources.update(StoreRole.WATCHER, List.of("a"));
            sources.onFeedBatch("a", at(0));
            assertThat(sources.storeDelay(content, at(10))).isLessThanOrEqualTo(Duration.ZERO);
            assertThat(sources.selectFeed(content, at(10))).contains("a");
        }

        @Test
        void standbyLeavesTheStoreAloneWhileItsFeedIsRecent() {
            ChangeSources<String> sources = subscriber("a");
            sources.onFeedBatch("a", at(0));
            assertThat(sources.storeDelay(content, at(1000))).isEqualTo(at(1000));
        }

        @Test
        void standbyReadsTheStoreWhenItHasHadNoFeedForTheGrace() {
            ChangeSources<String> sources = subscriber("a");
            sources.onFeedBatch("a", at(0));
            sources.onFeedFailed("a", at(500));
            assertThat(sources.storeDelay(content, at(500))).isEqualTo(ChangeSources.FEED_GRACE);
        }

        /** While the store is down, the calls of the whole fleet would only be refused, and are billed. */
        @Test
        void followerReadsTheStoreOnlyWhenItsContentIsAlmostAsOldAsTheBound() {
            ChangeSources<String> sources = subscriber("a");
            sources.update(StoreRole.FOLLOWER, List.of("a"));
            sources.onFeedFailed("a", at(500));
            assertThat(sources.storeDelay(content, at(500))).isEqualTo(at(3000 - 500));
        }

        @Test
        void failedCallIsRetriedAfterABackoff() {
            ChangeSources<String> sources = sources(List.of());
            assertThat(sources.onStoreFailure(at(100))).isTrue();
            assertThat(sources.onStoreFailure(at(200))).isFalse();
            assertThat(sources.maxStoreWait(content, at(200))).isZero();
            assertThat(sources.storeDelay(content, at(200))).isPositive().isLessThanOrEqualTo(at(100));
            assertThat(sources.onStoreResponse()).isTrue();
            assertThat(sources.onStoreResponse()).isFalse();
        }
    }

    @Nested
    class Watch {

        @Test
        void endsWithinAThirdOfTheBoundAfterTheLastConfirmation() {
            ChangeSources<String> sources = sources(List.of());
            content.accept(true, 3, at(0));
            assertThat(sources.maxStoreWait(content, at(0))).isEqualTo(BOUND.dividedBy(3));
            assertThat(sources.maxStoreWait(content, at(700)))
                    .isEqualTo(BOUND.dividedBy(3).minusMillis(700));
            assertThat(sources.maxStoreWait(content, at(1500))).isZero();
        }
    }

    @Nested
    class Content {

        @Test
        void laterRevisionOfEitherSourceIsAccepted() {
            assertThat(content.accept(true, 5, at(10))).isTrue();
            assertThat(content.accept(false, 7, at(20))).isTrue();
            assertThat(content.accept(false, 6, at(30))).isFalse();
            assertThat(content.revision()).isEqualTo(7);
            assertThat(content.currentAt()).isEqualTo(at(20));
        }

        @Test
        void changesWithoutTheContentTheyChangeAreNotAccepted() {
            assertThat(content.accept(false, 7, at(20))).isFalse();
            assertThat(content.isKnown()).isFalse();
        }

        @Test
        void sameRevisionConfirmsTheContent() {
            content.accept(true, 5, at(10));
            assertThat(content.accept(false, 5, at(40))).isFalse();
            assertThat(content.currentAt()).isEqualTo(at(40));
        }
    }
}
