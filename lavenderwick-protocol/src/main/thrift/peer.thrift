// Messages between daemons. Regenerate with:
// thrift --gen java:private_members,generated_annotations=suppress -out src/main/java-gen src/main/thrift/peer.thrift
namespace java org.lavenderwick.protocol

/** Position in the log of a database group. */
struct WireLogPoint {
  1: required i64 term
  2: required i64 position
}

/** What the owner is asked to do with the statements. */
enum WireAction {
  SINGLE = 1
  BEGIN_TRANSACTION = 2
  CONTINUE_TRANSACTION = 3
  COMMIT_TRANSACTION = 4
  ROLLBACK_TRANSACTION = 5
}

/** A caller's request that an entry daemon relays to an owner. */
struct RelayRequest {
  1: required string requestId
  2: required string serviceName
  3: required string group
  4: required string rank
  5: required bool write
  6: required WireAction action
  /** JSON array of statements, passed on unread. */
  7: required binary statements
  /** Time that is left for the request, in milliseconds. */
  8: required i64 remainingMillis
  9: optional i64 maxStalenessMillis
  10: optional string idempotencyKey
  11: optional WireLogPoint minimumPoint
  12: optional string transactionId
  /** Version of the seat table by which the sender chose the owner. */
  13: required i64 seatTableVersion
  /** True when the sender could not reach an owner that precedes this one. */
  14: required bool fallback
}

/** A refusal or failure; kind is the name of an error kind. */
struct WireFailure {
  1: required string kind
  2: required string detail
}

/** Answer to a relayed request: results or a failure. */
struct RelayResponse {
  1: required string requestId
  /** JSON array of results, passed on unread. */
  2: optional binary results
  3: optional WireLogPoint point
  4: optional string endpoint
  5: optional bool servedByPrimary
  6: optional string transactionId
  7: optional WireFailure failure
  /** Set when this request wrote: the position the session must see from now on. */
  8: optional bool wrote
}

/** One seat: a daemon that takes part in ownership. */
struct WireSeat {
  1: required i32 number
  2: required string failureDomain
  3: required string daemon
  4: required i64 incarnation
  5: required string address
  6: required bool leaving
}

struct WireSeatTable {
  1: required i64 version
  2: required list<WireSeat> seats
}

/** Versions of the shared documents that a daemon has in force. */
struct WireDigest {
  1: required i64 configurationVersion
  2: required i64 seatTableVersion
}

/** Documents for a peer that is behind; absent parts mean there is no news. */
struct WireNews {
  /** JSON of the whole configuration, when no change list reaches back to the peer's version. */
  1: optional binary configuration
  /** JSON of the changes since the peer's version. */
  2: optional binary configurationChanges
  3: optional WireSeatTable seatTable
}

/** What a daemon knows, sent to a few peers each round; news is set when the peer is known to be behind. */
struct ExchangeRequest {
  1: required string daemon
  2: required i64 incarnation
  3: required string failureDomain
  4: required WireDigest digest
  5: optional WireNews news
}

/** The receiver's digest after it applied the news, and news for the sender where it is behind. */
struct ExchangeResponse {
  1: required WireDigest digest
  2: optional WireNews news
}

service PeerService {
  RelayResponse execute(1: RelayRequest request)
  ExchangeResponse exchange(1: ExchangeRequest request)
}
