package org.lavenderwick.core.account;

import java.nio.charset.StandardCharsets;

import com.google.common.hash.Hashing;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The fingerprint of a client key, which stands for the key in memory, relays, logs and reports. The key cannot be
 * derived from it, because keys are random and long.
 *
 * @param value the first 16 hexadecimal digits of the SHA-256 of the key
 */
public record KeyFingerprint(String value) {

    private static final int LENGTH = 16;

    /** Checks the form of the fingerprint. */
    public KeyFingerprint {
        checkArgument(value.matches("[0-9a-f]{" + LENGTH + "}"), "not %s lower-case hexadecimal digits", LENGTH);
    }

    /** Returns the fingerprint of a key. */
    public static KeyFingerprint ofKey(String key) {
        return new KeyFingerprint(Hashing.sha256()
                .hashString(key, StandardCharsets.UTF_8)
                .toString()
                .substring(0, LENGTH));
    }

    @Override
    public String toString() {
        return value;
    }
}
