package org.lavenderwick.adapters.settings;

/**
 * One fault in a settings file.
 *
 * @param path where the fault is, as in {@code timeouts.drainMs} or {@code peers[2]}
 * @param reason what is wrong and what is expected
 */
public record SettingsProblem(String path, String reason) {

    @Override
    public String toString() {
        return path + ": " + reason;
    }
}
