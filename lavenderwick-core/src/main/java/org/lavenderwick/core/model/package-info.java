/** Immutable values that several duties of the proxy share: names, terms and log positions. */
package org.lavenderwick.core.model;
