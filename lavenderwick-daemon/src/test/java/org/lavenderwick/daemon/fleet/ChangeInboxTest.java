package org.lavenderwick.daemon.fleet;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lavenderwick.core.propagation.ChangeSources;
import org.lavenderwick.core.propagation.ContentStatus;
import org.lavenderwick.core.store.StoreChange;
import org.lavenderwick.core.store.StoreChanges;
import org.lavenderwick.core.store.StoreEntry;
import org.lavenderwick.core.time.Backoff;

import static org.assertj.core.api.Assertions.assertThat;

class ChangeInboxTest {

    private Duration now = Duration.ofSeconds(100);
    private final ChangeInbox inbox = new ChangeInbox(
            ChangeSources.create(
                    Duration.ofSeconds(3),
                    Backoff.create(Duration.ofMillis(50), Duration.ofMillis(800), new Random(1)),
                    List.of(),
                    now),
            () -> now,
            new IdleTraffic());

    private static StoreChanges changes(long revision) {
        return new StoreChanges(
                List.of(new StoreChange.EntryChanged(new StoreEntry("hosts/a", "", revision))),
                List.of("changed"),
                revision);
    }

    private static StoreChanges noChanges(long revision) {
        return new StoreChanges(List.of(), List.of(), revision);
    }

    @Nested
    class AppliedContent {

        @Test
        void isNoneBeforeTheFirstUpdateIsApplied() {
            inbox.deliverContent(changes(7), now);
            assertThat(inbox.appliedContent()).isEqualTo(ContentStatus.NONE);
        }

        /** Guards against a daemon that calls content recent whose changes it has received and not applied. */
        @Test
        void staysAsOldAsBeforeWhileAnUpdateIsInProgress() {
            Duration loadedAt = now;
            inbox.deliverContent(changes(7), now);
            inbox.onUpdatesApplied(1);
            now = now.plusMillis(400);
            inbox.deliverWatch(changes(8), now, Duration.ZERO);
            now = now.plusMillis(400);
            inbox.deliverWatch(noChanges(8), now, Duration.ZERO);
            assertThat(inbox.appliedContent()).isEqualTo(new ContentStatus(7, loadedAt, "the store"));

            inbox.onUpdatesApplied(1);
            assertThat(inbox.appliedContent()).isEqualTo(new ContentStatus(8, now, "the store"));
        }

        @Test
        void namesTheFeedThatShowedThatItIsTheNewest() {
            inbox.deliverContent(changes(7), now);
            inbox.onUpdatesApplied(1);
            now = now.plusMillis(500);
            inbox.deliverFromFeed(
                    InetSocketAddress.createUnresolved("d2", 7440),
                    new PeerFeed.Batch(false, noChanges(7), now.minusMillis(100), Duration.ofMillis(90)));
            assertThat(inbox.appliedContent().describe(now))
                    .isEqualTo("store content of revision 7, known to be the newest 100 ms ago by the feed of d2:7440");
        }
    }

    @Nested
    class Watch {

        private final Duration sentAt = now;

        @BeforeEach
        void load() {
            inbox.deliverContent(changes(7), sentAt.minusSeconds(1));
            inbox.onUpdatesApplied(1);
            now = sentAt.plusMillis(1700);
        }

        /** Guards against the transit of a response that makes content look younger than it is. */
        @Test
        void withoutChangesShowsThatThereWereNoneWhileItWaited() {
            inbox.deliverWatch(noChanges(7), sentAt, Duration.ofMillis(1000));
            assertThat(inbox.appliedContent().currentAt()).isEqualTo(sentAt.plusMillis(1000));
        }

        @Test
        void thatWasCutShowsNothingAboutTheTimeItShouldHaveWaited() {
            inbox.deliverWatch(noChanges(7), sentAt, Duration.ofMillis(3000));
            assertThat(inbox.appliedContent().currentAt()).isEqualTo(sentAt);
        }

        /** Guards against a change to an entry that daemons do not use, which ends a watch early. */
        @Test
        void withALaterRevisionShowsOnlyWhatWasTheNewestWhenItWasSent() {
            inbox.deliverWatch(noChanges(8), sentAt, Duration.ofMillis(1000));
            assertThat(inbox.appliedContent().currentAt()).isEqualTo(sentAt);
        }

        @Test
        void withChangesShowsOnlyWhatWasTheNewestWhenItWasSent() {
            inbox.deliverWatch(changes(8), sentAt, Duration.ofMillis(1000));
            inbox.onUpdatesApplied(1);
            assertThat(inbox.appliedContent().currentAt()).isEqualTo(sentAt);
        }
    }
}
