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
 * The sealed form: URL-safe base64 without padding of kind (1 byte), key id (length byte and text), body, and the
 * HMAC-SHA256 of all before it. Thread-safe.
 */
final class TokenSigner {

    /** Longest text that is opened, in characters. A token of {@link SessionToken#MAX_GROUPS} long names fits. */
    static final int MAX_TEXT_LENGTH = 8192;

    private static final int SECRET_BYTES = 32;
    private static final int MAC_BYTES = 32;
    private static final int MAX_KEY_ID_BYTES = 255;
    private static final int KEY_ID_OFFSET = 2;
    private static final Base64.Encoder ENCODER = Base64.getUrlEncoder().withoutPadding();
    private static final Base64.Decoder DECODER = Base64.getUrlDecoder();

    private final byte[] signingKeyId;
    private final Map<String, HashFunction> macs;

    private TokenSigner(byte[] sealingId, Map<String, HashFunction> macs) {
        this.signingKeyId = sealingId;
        this.macs = macs;
    }

    static TokenSigner of(List<SessionKey> keys) {
        checkArgument(!keys.isEmpty(), "there is no session key");
        ImmutableMap.Builder<String, HashFunction> macs = ImmutableMap.builder();
        for (SessionKey key : keys) {
            byte[] id = key.id().getBytes(StandardCharsets.UTF_8);
            checkArgument(id.length >= 1 && id.length <= MAX_KEY_ID_BYTES, "id of a session key is empty or too long");
            byte[] secret = Base64.getDecoder().decode(key.secretBase64());
            checkArgument(secret.length == SECRET_BYTES, "session key %s has not %s bytes", key.id(), SECRET_BYTES);
            macs.put(key.id(), Hashing.hmacSha256(secret));
        }
        return new TokenSigner(keys.get(0).id().getBytes(StandardCharsets.UTF_8), macs.buildOrThrow());
    }

    String sign(byte kind, byte[] body) {
        byte[] content = Bytes.concat(new byte[] {kind, (byte) signingKeyId.length}, signingKeyId, body);
        byte[] mac = macs.get(new String(signingKeyId, StandardCharsets.UTF_8))
                .hashBytes(content)
                .asBytes();
        return ENCODER.encodeToString(Bytes.concat(content, mac));
    }

    <T> Either<Failure, T> verify(byte kind, String text, Function<ByteArrayDataInput, T> reader) {
        if (text.length() > MAX_TEXT_LENGTH) {
            return invalid("it is too long");
        }
        byte[] sealed;
        try {
            sealed = DECODER.decode(text);
        } catch (IllegalArgumentException e) {
            return invalid("it is not URL-safe base64");
        }
        int contentLength = sealed.length - MAC_BYTES;
        if (contentLength < KEY_ID_OFFSET || contentLength < KEY_ID_OFFSET + Byte.toUnsignedInt(sealed[1])) {
            return invalid("it is cut");
        }
        int bodyOffset = KEY_ID_OFFSET + Byte.toUnsignedInt(sealed[1]);
        HashFunction mac =
                macs.get(new String(sealed, KEY_ID_OFFSET, bodyOffset - KEY_ID_OFFSET, StandardCharsets.UTF_8));
        if (mac == null) {
            return invalid("its key is unknown");
        }
        byte[] expected = mac.hashBytes(sealed, 0, contentLength).asBytes();
        byte[] stated = Arrays.copyOfRange(sealed, contentLength, sealed.length);
        // MessageDigest.isEqual takes the same time wherever the first difference is.
        if (!MessageDigest.isEqual(expected, stated) || sealed[0] != kind) {
            return invalid("it was not sealed by this fleet");
        }
        try {
            return Either.right(
                    reader.apply(ByteStreams.newDataInput(Arrays.copyOfRange(sealed, bodyOffset, contentLength))));
        } catch (IllegalStateException | IllegalArgumentException e) {
            return invalid("its content is malformed");
        }
    }

    private static <T> Either<Failure, T> invalid(String reason) {
        return Either.left(Failure.of(
                ErrorKind.INVALID_TOKEN, "The session token or transaction handle is not valid: " + reason + "."));
    }
}
