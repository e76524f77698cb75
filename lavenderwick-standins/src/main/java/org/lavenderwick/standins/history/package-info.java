/** Recorded histories of callers and endpoints, and a checker that knows only the guarantees and not the proxy. */
package org.lavenderwick.standins.history;
