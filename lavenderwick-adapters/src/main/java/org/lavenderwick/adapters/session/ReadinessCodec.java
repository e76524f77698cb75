package org.lavenderwick.adapters.session;

import java.util.List;

/** Questions whether the daemon takes new sessions. */
public interface ReadinessCodec {

    /**
     * Returns the lines of the answer.
     *
     * @param question the lines of the question, without the empty line that ends it
     * @param ready whether the daemon takes new sessions
     */
    List<String> answer(List<String> question, boolean ready);
}
