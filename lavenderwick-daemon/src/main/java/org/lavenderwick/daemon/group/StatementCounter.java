package org.lavenderwick.daemon.group;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;

/** Counter of the statements in a request, which does not parse the statements themselves. */
final class StatementCounter {
    private static final JsonFactory FACTORY = new JsonFactory();

    private StatementCounter() {}

    /**
     * Returns the number of elements of a JSON array, in time linear in its size. An empty array and anything that is
     * not a JSON array count as 1.
     *
     * @param statements encoded JSON array
     */
    static int count(byte[] statements) {
        int count = 0;
        try (JsonParser parser = FACTORY.createParser(statements)) {
            if (parser.nextToken() != JsonToken.START_ARRAY) {
                return 1;
            }
            for (JsonToken token = parser.nextToken();
                    token != null && token != JsonToken.END_ARRAY;
                    token = parser.nextToken()) {
                parser.skipChildren();
                count++;
            }
        } catch (IOException e) {
            return 1;
        }
        return Math.max(1, count);
    }
}
