package org.lavenderwick.core.ratelimit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.ratelimit.PartEntry.Phase;
import org.lavenderwick.core.store.EraRevision;
import org.lavenderwick.core.store.StoreEntry;
import org.lavenderwick.core.store.StoreWrite;

/**
 * The claim of a daemon to one part: when it writes the entry, and when it may grant. Confined to one thread.
 *
 * <p>A daemon takes over an entry under its own name, which an earlier process of it wrote, without the wait of a new
 * holder, but only if that process had finished its own wait and wrote it in the present era. Otherwise a process that
 * restarts during the wait would cut it short.
 */
public final class PartClaim {

    /** Time for which an entry that this daemon wrote may be missing from its copy of the store. */
    private static final Duration CACHE_DELAY = Duration.ofSeconds(1);

    /** Wait after a failed write. */
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    /**
     * A write to make.
     *
     * @param expectedRevision the revision that the entry must have
     * @param entry the new value
     * @param startDelay wait before this daemon grants, from the response; empty if it grants already
     */
    public record Write(long expectedRevision, PartEntry entry, Optional<Duration> startDelay) {}

    private final PartId part;
    private final DaemonName self;
    private long revision = StoreWrite.ABSENT;
    private long lease = StoreWrite.NO_LEASE;
    private Phase phase = Phase.WAITING;
    private Duration writtenAt = Duration.ZERO;
    private Duration absentSince;
    private Duration nextAttemptAt = Duration.ofSeconds(Long.MIN_VALUE);
    private long acquisitions;
    private Optional<Tenure> current = Optional.empty();
    private Optional<Tenure> previous = Optional.empty();

    /** Creates a claim of a daemon that does not hold the part. */
    public PartClaim(PartId part, DaemonName self) {
        this.part = part;
        this.self = self;
    }

    /** Returns the part. */
    public PartId part() {
        return part;
    }

    /**
     * Returns the write to make now.
     *
     * @param known the entry in this daemon's copy of the store
     * @param era the newest era of the store
     * @param ownLease the lease of the daemon's own entry; there must be one
     * @param turn how long this daemon leaves a part without an entry to others; empty if it is no candidate
     */
    public Optional<Write> next(
            Optional<StoreEntry> known, long era, long ownLease, Optional<Duration> turn, Duration now) {
        absentSince = known.isPresent() ? null : absentSince == null ? now : absentSince;
        if (now.compareTo(nextAttemptAt) < 0) {
            return Optional.empty();
        }
        if (isHeld(known, era, ownLease, now)) {
            boolean settles = phase != Phase.SETTLED
                    && current.orElseThrow().startsAt().plus(PartSizes.LIFETIME).compareTo(now) <= 0;
            return settles ? Optional.of(write(revision, era, Phase.SETTLED, Optional.empty())) : Optional.empty();
        }
        if (known.isEmpty()) {
            boolean due = turn.isPresent() && absentSince.plus(turn.get()).compareTo(now) <= 0;
            return due
                    ? Optional.of(write(StoreWrite.ABSENT, era, Phase.WAITING, Optional.of(Tenure.TERM)))
                    : Optional.empty();
        }
        return PartEntry.decode(known.get().value())
                .filter(entry -> entry.holder().equals(self))
                .map(entry -> takeOver(entry, known.get().revision(), era));
    }

    private Write takeOver(PartEntry before, long known, long era) {
        if (before.era() != era || before.phase() == Phase.WAITING) {
            return write(known, era, Phase.WAITING, Optional.of(Tenure.TERM));
        }
        Duration wait = before.phase() == Phase.STARTING ? PartSizes.LIFETIME : Duration.ZERO;
        return write(known, era, Phase.STARTING, Optional.of(wait));
    }

    private Write write(long expected, long era, Phase newPhase, Optional<Duration> wait) {
        return new Write(expected, new PartEntry(self, era, newPhase), wait);
    }

    /** Returns whether the entry is the one that this process wrote last, under a lease that it still has. */
    private boolean isHeld(Optional<StoreEntry> known, long era, long ownLease, Duration now) {
        if (revision == StoreWrite.ABSENT || lease != ownLease || EraRevision.era(revision) != era) {
            return false;
        }
        return known.map(entry -> entry.revision() <= revision)
                .orElseGet(() -> now.minus(writtenAt).compareTo(CACHE_DELAY) < 0);
    }

    /**
     * Records that a write succeeded.
     *
     * @param ownLease the lease under which it was written
     * @param renewedAt when the last successful renewal of the lease was sent
     */
    public void onWritten(Write write, long newRevision, long ownLease, Duration renewedAt, Duration now) {
        revision = newRevision;
        lease = ownLease;
        phase = write.entry().phase();
        writtenAt = now;
        write.startDelay().ifPresent(delay -> {
            previous = delay.compareTo(Tenure.TERM) < 0 ? Optional.empty() : current;
            current = Optional.of(new Tenure(++acquisitions, now.plus(delay), renewedAt));
        });
    }

    /** Records that a write failed. Whether it took effect shows in the copy of the store. */
    public void onFailed(Duration now) {
        nextAttemptAt = now.plus(RETRY_DELAY);
    }

    /** Records that a renewal of the lease that was sent at the given time succeeded, in the given era. */
    public void onRenewed(long renewedLease, long era, Duration sentAt) {
        if (revision != StoreWrite.ABSENT && renewedLease == lease && era == EraRevision.era(revision)) {
            current = current.map(tenure -> new Tenure(tenure.acquisition(), tenure.startsAt(), sentAt));
        }
    }

    /**
     * Returns the tenures that count. That before an acquisition with a full wait lasts until its term is over: whoever
     * acquired the entry since its last renewal, in this era of the store or the next, waits as long.
     */
    public List<Tenure> tenures() {
        List<Tenure> tenures = new ArrayList<>();
        previous.ifPresent(tenures::add);
        current.ifPresent(tenures::add);
        return tenures;
    }
}
