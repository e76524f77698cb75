package org.lavenderwick.core.failover;

/** A safeguard of the failover protocol that a simulation can switch off. */
enum Safeguard {
    /** The lease of the term record is revoked when a term is closed. */
    LEASE_REVOCATION,
    /** Daemons take the promises in endpoint reports into account. */
    PROMISES,
    /** Daemons ignore the reports of endpoints that restarted recently. */
    CONNECTION_AGE,
    /** A daemon discards its evidence after it was suspended. */
    SUSPENSION_DETECTION,
    /** A daemon checks the evidence again before it acknowledges a write. */
    EVIDENCE_RECHECK,
    /** A daemon counts the age of a confirmation from its request for it. */
    CONFIRMATION_DATE,
    /** A record and its evidence count only in the era of the store in which it was written. */
    ERA,
    /** Evidence from the endpoints needs the members that the term record names, not those that are registered. */
    RECORDED_MEMBERS,
    /** The members that a daemon knows count for a limited time after the record was confirmed. */
    MEMBERSHIP_AGE,
    /** An endpoint joins under a new lease of the record. */
    LEASE_OF_JOINING,
    /** A joining endpoint is established only after the members that others knew before are no longer valid. */
    ESTABLISHMENT_DELAY,
    /** A failover promotes established members, unless no daemon can prove the old primary any more. */
    CANDIDATE_ELIGIBILITY,
    /** Promises are for a later term than any that an earlier promotion request may have begun. */
    REQUESTED_TERMS,
    /** The demotion of the known primary does not suffice while another endpoint may have been promoted unseen. */
    PROMISES_AFTER_REQUESTS,
    /** If the record may not tell the latest request, only the reports of all members show the newest primary. */
    UNKNOWN_REQUESTS
}
