package org.lavenderwick.core.session;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.google.common.io.ByteArrayDataInput;
import com.google.common.io.ByteArrayDataOutput;
import com.google.common.io.ByteStreams;
import io.vavr.control.Either;
import org.lavenderwick.core.configuration.SessionKey;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.model.LogPoint;

/**
 * Codec between session tokens or transaction handles and their signed text form. Thread-safe.
 *
 * <p>The text is signed with HMAC-SHA256 but not encrypted: callers can read it, but cannot change it unnoticed. The
 * text of a token is rejected as a handle, and vice versa. Encoding and decoding take time linear in the number of
 * groups and compute one HMAC.
 */
public final class SessionTokenCodec {

    private static final byte TOKEN_KIND = 1;
    private static final byte HANDLE_KIND = 2;

    private final TokenSigner signer;

    private SessionTokenCodec(TokenSigner signer) {
        this.signer = signer;
    }

    /**
     * Returns a codec that signs with the first key and verifies with all of them.
     *
     * @throws IllegalArgumentException if there are no keys, or a secret is not the base64 encoding of 32 bytes
     */
    public static SessionTokenCodec of(List<SessionKey> keys) {
        return new SessionTokenCodec(TokenSigner.of(keys));
    }

    /** Returns the signed text of a token. */
    public String encode(SessionToken token) {
        ByteArrayDataOutput body = ByteStreams.newDataOutput();
        body.writeByte(token.points().size());
        token.points().forEach((group, point) -> {
            body.writeUTF(group.value());
            body.writeLong(point.term().number());
            body.writeLong(point.position());
        });
        return signer.sign(TOKEN_KIND, body.toByteArray());
    }

    /** Returns the token in a signed text, or a failure of kind {@code INVALID_TOKEN} if the text is not valid. */
    public Either<Failure, SessionToken> decodeToken(String text) {
        return signer.verify(TOKEN_KIND, text, body -> {
            Map<GroupName, LogPoint> points = new TreeMap<>();
            for (int remaining = body.readUnsignedByte(); remaining > 0; remaining--) {
                points.put(GroupName.of(body.readUTF()), LogPoint.of(body.readLong(), body.readLong()));
            }
            return new SessionToken(points);
        });
    }

    /** Returns the signed text of a transaction handle. */
    public String encode(TransactionHandle handle) {
        ByteArrayDataOutput body = ByteStreams.newDataOutput();
        body.writeUTF(handle.owner().value());
        body.writeLong(handle.incarnation());
        body.writeUTF(handle.transactionId());
        return signer.sign(HANDLE_KIND, body.toByteArray());
    }

    /** Returns the handle in a signed text, or a failure of kind {@code INVALID_TOKEN} if the text is not valid. */
    public Either<Failure, TransactionHandle> decodeHandle(String text) {
        return signer.verify(HANDLE_KIND, text, SessionTokenCodec::readHandle);
    }

    private static TransactionHandle readHandle(ByteArrayDataInput body) {
        return new TransactionHandle(DaemonName.of(body.readUTF()), body.readLong(), body.readUTF());
    }
}
