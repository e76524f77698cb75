/** Immutable values used throughout the proxy: names, terms and log points. */
package org.lavenderwick.core.model;
