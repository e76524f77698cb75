package org.lavenderwick.core.configuration;

/**
 * A key with which session tokens are sealed. New tokens are sealed with the first key of the configuration. A token
 * sealed with any of its keys can be opened.
 *
 * @param id short name of the key, included in each token that it seals
 * @param secretBase64 the 32-byte key, encoded in Base64
 */
public record SessionKey(String id, String secretBase64) {

    @Override
    public String toString() {
        return "SessionKey[" + id + "]";
    }
}
