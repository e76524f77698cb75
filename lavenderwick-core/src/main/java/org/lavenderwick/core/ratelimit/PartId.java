package org.lavenderwick.core.ratelimit;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.IntStream;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import org.lavenderwick.core.account.AccountName;

/**
 * A part of the limits of all accounts of a shard. One daemon at a time grants for it.
 *
 * @param shard the shard of the accounts
 * @param part the part of their limits
 */
public record PartId(int shard, int part) {

    /** Number of shards of the accounts. Bounds the store entries, and spreads the work of grantors. */
    public static final int SHARDS = 4;

    /** Number of equal parts of a limit. */
    public static final int PARTS = 3;

    /** Prefix of the keys of the store entries. */
    public static final String PREFIX = "limits/";

    /** All daemons must use the same function and seed to agree on the shard of an account. */
    private static final HashFunction SHARD_HASH = Hashing.murmur3_32_fixed(0x6c61_7665);

    /** All parts. */
    public static final List<PartId> ALL = IntStream.range(0, SHARDS)
            .boxed()
            .flatMap(shard -> IntStream.range(0, PARTS).mapToObj(part -> new PartId(shard, part)))
            .toList();

    /** Returns the shard of an account. */
    public static int shardOf(AccountName account) {
        return Math.floorMod(
                SHARD_HASH.hashString(account.value(), StandardCharsets.UTF_8).asInt(), SHARDS);
    }

    /** Returns the key of the store entry that names the grantor. */
    public String key() {
        return PREFIX + shard + "/" + part;
    }

    /** Returns the position in {@link #ALL}. */
    public int index() {
        return shard * PARTS + part;
    }
}
