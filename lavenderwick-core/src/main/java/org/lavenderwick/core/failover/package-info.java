/**
 * Failover of database groups on a platform that promotes endpoints on request.
 *
 * <p>A <em>term</em> is the period in which one endpoint is the primary of a group; each promotion begins a term with a
 * higher number. <em>Evidence</em> proves that no later term had begun at a given time. It comes from the lease of the
 * {@linkplain org.lavenderwick.core.failover.TermRecord term record} or from the endpoints themselves, and daemons use
 * a primary only while they have recent evidence. A <em>promise</em> for a term is the commitment of an endpoint not
 * to support any lower term.
 */
package org.lavenderwick.core.failover;
