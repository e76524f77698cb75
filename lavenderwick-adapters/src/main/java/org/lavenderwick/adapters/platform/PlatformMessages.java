package org.lavenderwick.adapters.platform;

import java.util.List;

/** JSON bodies of the platform's protocol that are not part of the port. */
public final class PlatformMessages {

    private PlatformMessages() {}

    /**
     * Answer to a successful {@code PUT /kv/{key}}.
     *
     * @param revision the new revision
     */
    public record Written(long revision) {}

    /**
     * Answer to {@code GET /list}.
     *
     * @param keys the keys in ascending order
     */
    public record Keys(List<String> keys) {}

    /**
     * Body of {@code POST /leases}.
     *
     * @param name what to lease
     * @param holder who asks for it
     * @param ttlMs time to live in milliseconds
     */
    public record LeaseRequest(String name, String holder, long ttlMs) {}

    /**
     * Answer to {@code DELETE /leases/{name}}.
     *
     * @param released whether the lease was still held under the given fencing token
     */
    public record Released(boolean released) {}
}
