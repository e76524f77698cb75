package org.lavenderwick.core.configuration;

/**
 * A key that seals session tokens. The first key of a configuration seals; all of them open.
 *
 * @param id short name of the key, carried in each token
 * @param secretBase64 the key in base64, 32 bytes
 */
public record SessionKey(String id, String secretBase64) {

    @Override
    public String toString() {
        return "SessionKey[" + id + "]";
    }
}
