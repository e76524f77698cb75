package org.lavenderwick.core.session;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

import com.google.common.collect.ImmutableMap;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import com.google.common.io.ByteArrayDataInput;
import com.google.common.io.ByteStreams;
import com.google.common.primitives.Bytes;
import io.vavr.control.Either;
import org.lavenderwick.core.configuration.SessionKey;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Signs and verifies the text form of session tokens and transaction handles. Thread-safe.
 *
 * <p>The text is the unpadded URL-safe base64 encoding of the kind (1 byte), the length of the key ID (1 byte), the key
 * ID in UTF-8, the body, and the HMAC-SHA256 of all preceding bytes.
 */
final class TokenSigner {

    /**
     * Maximum length of an accepted text, in characters. Fits a token of {@link SessionToken#MAX_GROUPS} groups with
     * long names.
     */
    static final int MAX_TEXT_LENGTH = 8192;

    private static final int SECRET_BYTES = 32;
    private static final int MAC_BYTES = 32;
    private static final int MAX_KEY_ID_BYTES = 255;
    private static final int KEY_ID_OFFSET = 2;
    private static final Base64.Encoder ENCODER = Base64.getUrlEncoder().withoutPadding();
    private static final Base64.Decoder DECODER = Base64.getUrlDecoder();

    private final byte[] signingKeyId;
    private final Map<String, HashFunction> macsByKeyId;

    private TokenSigner(byte[] sealingId, Map<String, HashFunction> macs) {
        this.signingKeyId = sealingId;
        this.macsByKeyId = macs;
    }

    /** Returns a signer that signs with the first key and verifies with all of them. */
    static TokenSigner of(List<SessionKey> keys) {
        checkArgument(!keys.isEmpty(), "no session keys are given");
        ImmutableMap.Builder<String, HashFunction> macs = ImmutableMap.builder();
        for (SessionKey key : keys) {
            byte[] id = key.id().getBytes(StandardCharsets.UTF_8);
            checkArgument(
                    id.length >= 1 && id.length <= MAX_KEY_ID_BYTES,
                    "ID of a session key must be 1 to %s bytes long",
                    MAX_KEY_ID_BYTES);
            byte[] secret = Base64.getDecoder().decode(key.secretBase64());
            checkArgument(
                    secret.length == SECRET_BYTES,
                    "secret of session key %s must be %s bytes long",
                    key.id(),
                    SECRET_BYTES);
            macs.put(key.id(), Hashing.hmacSha256(secret));
        }
        return new TokenSigner(keys.get(0).id().getBytes(StandardCharsets.UTF_8), macs.buildOrThrow());
    }

    /** Returns the signed text of a body. */
    String sign(byte kind, byte[] body) {
        byte[] content = Bytes.concat(new byte[] {kind, (byte) signingKeyId.length}, signingKeyId, body);
        byte[] mac = macsByKeyId
                .get(new String(signingKeyId, StandardCharsets.UTF_8))
                .hashBytes(content)
                .asBytes();
        return ENCODER.encodeToString(Bytes.concat(content, mac));
    }

    /**
     * Returns what {@code reader} reads from the body of a signed text, or a failure of kind {@code INVALID_TOKEN} if
     * the text is of another kind, is malformed, or has no valid signature of a known key.
     */
    <T> Either<Failure, T> verify(byte kind, String text, Function<ByteArrayDataInput, T> reader) {
        if (text.length() > MAX_TEXT_LENGTH) {
            return invalid("it is too long");
        }
        byte[] decoded;
        try {
            decoded = DECODER.decode(text);
        } catch (IllegalArgumentException e) {
            return invalid("it is not URL-safe base64");
        }
        int contentLength = decoded.length - MAC_BYTES;
        if (contentLength < KEY_ID_OFFSET || contentLength < KEY_ID_OFFSET + Byte.toUnsignedInt(decoded[1])) {
            return invalid("it is cut");
        }
        int bodyOffset = KEY_ID_OFFSET + Byte.toUnsignedInt(decoded[1]);
        HashFunction mac =
                macsByKeyId.get(new String(decoded, KEY_ID_OFFSET, bodyOffset - KEY_ID_OFFSET, StandardCharsets.UTF_8));
        if (mac == null) {
            return invalid("its key is unknown");
        }
        byte[] expected = mac.hashBytes(decoded, 0, contentLength).asBytes();
        byte[] actual = Arrays.copyOfRange(decoded, contentLength, decoded.length);
        // MessageDigest.isEqual compares in constant time, so its duration does not help an attacker guess the HMAC.
        if (!MessageDigest.isEqual(expected, actual) || decoded[0] != kind) {
            return invalid("it was not sealed by this fleet");
        }
        try {
            return Either.right(
                    reader.apply(ByteStreams.newDataInput(Arrays.copyOfRange(decoded, bodyOffset, contentLength))));
        } catch (IllegalStateException | IllegalArgumentException e) {
            return invalid("its content is malformed");
        }
    }

    private static <T> Either<Failure, T> invalid(String reason) {
        return Either.left(Failure.of(
                ErrorKind.INVALID_TOKEN, "The session token or transaction handle is not valid: " + reason + "."));
    }
}
