package org.lavenderwick.adapters.settings;

/** Form of the lines of the log. */
public enum LogFormat {
    /** One readable line for each event. */
    TEXT,
    /** One JSON object for each event. */
    JSON
}
