package org.lavenderwick.core.session;

import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import com.google.common.base.Strings;
import io.vavr.control.Either;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lavenderwick.core.configuration.SessionKey;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.model.LogPoint;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class SessionTokenCodecTest {

    private static final SessionKey OLD_KEY = key("k1", 1);
    private static final SessionKey NEW_KEY = key("k2", 2);
    private static final SessionToken TOKEN = SessionToken.empty()
            .with(GroupName.of("orders"), LogPoint.of(3, 1200))
            .with(GroupName.of("größe"), LogPoint.of(1, 7));

    private final SessionTokenCodec codec = SessionTokenCodec.of(List.of(OLD_KEY));

    private static SessionKey key(String id, int seed) {
        byte[] secret = new byte[32];
        secret[0] = (byte) seed;
        return new SessionKey(id, Base64.getEncoder().encodeToString(secret));
    }

    private static void assertInvalid(Either<Failure, ?> opened) {
        assertThat(opened.isLeft()).isTrue();
        assertThat(opened.getLeft().kind()).isEqualTo(ErrorKind.INVALID_TOKEN);
    }

    @Nested
    class Decoding {

        /** Guards against a token that loses a log point between encoding and decoding. */
        @Test
        void returnsTheEncodedToken() {
            assertThat(codec.decodeToken(codec.encode(TOKEN)).get()).isEqualTo(TOKEN);
            assertThat(codec.encode(TOKEN)).matches("[A-Za-z0-9_-]+");
        }

        /** Guards against sessions that break when operators rotate the signing key. */
        @Test
        void acceptsTokensOfAnOlderKey() {
            SessionTokenCodec rotated = SessionTokenCodec.of(List.of(NEW_KEY, OLD_KEY));

            assertThat(rotated.decodeToken(codec.encode(TOKEN)).get()).isEqualTo(TOKEN);
            assertInvalid(codec.decodeToken(rotated.encode(TOKEN)));
        }

        /** Guards against a token signed by another fleet with a key of the same ID. */
        @Test
        void rejectsATokenOfAnotherFleet() {
            SessionTokenCodec otherFleet = SessionTokenCodec.of(List.of(key("k1", 9)));

            assertInvalid(codec.decodeToken(otherFleet.encode(TOKEN)));
        }

        /** Guards against accepting a transaction handle as a session token, and vice versa. */
        @Test
        void rejectsTextOfTheOtherKind() {
            TransactionHandle handle = new TransactionHandle(DaemonName.of("arq-1"), 5, "t-9");

            assertThat(codec.decodeHandle(codec.encode(handle)).get()).isEqualTo(handle);
            assertInvalid(codec.decodeToken(codec.encode(handle)));
            assertInvalid(codec.decodeHandle(codec.encode(TOKEN)));
        }

        /** Guards against malformed input that causes an exception instead of a failure. */
        @Test
        void rejectsTextThatIsNotAToken() {
            for (String text : List.of("", "a", "====", "!!", "AQ", Strings.repeat("A", 10_000), "ñandú")) {
                assertInvalid(codec.decodeToken(text));
            }
        }
    }

    /** Guards against forged tokens: a change of any character must be detected. */
    @Property(seed = "11", tries = 500)
    void rejectsATokenWithAChangedCharacter(
            @ForAll @IntRange(max = 10_000) int position, @ForAll @IntRange(max = 63) int digit) {
        String text = codec.encode(TOKEN);
        String alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
        // The last character has unused bits, so a change there may decode to the same bytes.
        int index = position % (text.length() - 1);
        String changed = text.substring(0, index) + alphabet.charAt(digit) + text.substring(index + 1);

        if (!changed.equals(text)) {
            assertInvalid(codec.decodeToken(changed));
        }
    }

    /** Guards against accepting a truncated token. */
    @Property(seed = "12", tries = 100)
    void rejectsATruncatedToken(@ForAll @IntRange(max = 10_000) int position) {
        String text = codec.encode(TOKEN);

        assertInvalid(codec.decodeToken(text.substring(0, position % text.length())));
    }

    @Nested
    class Tokens {

        /** Guards against a session that loses its latest write when an earlier response arrives late. */
        @Test
        void keepTheLaterLogPoint() {
            GroupName orders = GroupName.of("orders");

            assertThat(TOKEN.with(orders, LogPoint.of(3, 5)).point(orders)).contains(LogPoint.of(3, 1200));
            assertThat(TOKEN.with(orders, LogPoint.of(4, 5)).point(orders)).contains(LogPoint.of(4, 5));
            assertThat(TOKEN.replace(orders, LogPoint.of(3, 5)).point(orders)).contains(LogPoint.of(3, 5));
        }

        /** Guards against a token that exceeds the size of a header, and against one that silently omits a group. */
        @Test
        void holdALimitedNumberOfGroups() {
            SessionToken full = new SessionToken(IntStream.range(0, SessionToken.MAX_GROUPS)
                    .boxed()
                    .collect(Collectors.toMap(
                            number -> GroupName.of(Strings.repeat("n", 60) + number), number -> LogPoint.of(1, 1))));

            assertThat(codec.decodeToken(codec.encode(full)).get()).isEqualTo(full);
            assertThat(full.hasRoomFor(GroupName.of("other"))).isFalse();
            assertThatThrownBy(() -> full.with(GroupName.of("other"), LogPoint.of(1, 1)))
                    .isInstanceOf(IllegalArgumentException.class);
            assertThat(new SessionToken(Map.of()).hasRoomFor(GroupName.of("other")))
                    .isTrue();
        }
    }
}
