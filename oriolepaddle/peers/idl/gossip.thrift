namespace py oriolepaddle.peers.gen_py.gossip

/** What one instance has running at an endpoint of its region. */
struct EndpointWork {
  1: required string endpoint,
  2: required i32 running,
  3: required i32 prefill_tokens,
  4: required i32 memory_tokens,
}

/** The wait that a request would meet in the sender's region. */
struct ServiceWait {
  1: required string service_name,
  2: required i32 wait_ms,
}

/** What an instance holds and lacks of an organisation's tokens. */
struct TokenBalance {
  1: required string organisation,
  2: required i64 spare,
  3: required i64 wanted,
}

/** Tokens that the sender has given up to the receiver. */
struct TokenGrant {
  1: required string organisation,
  2: required i64 tokens,
}

/** Endpoints' lives that broke off while they ran a request. */
struct CrashRecord {
  1: required string fingerprint,
  2: required list<string> lives,
}

/** An instance that the sender has heard of late. */
struct PeerAddress {
  1: required string instance,
  2: required string address,
}

/** One datagram from one instance to another. */
struct Announcement {
  1: required string instance,
  2: required i64 incarnation,
  3: required string data_centre,
  4: required string caller_address,
  5: required string peer_address,
  6: required i32 size_thousandths,
  7: required bool is_ready,
  8: required bool is_leaving,
  /** The sender's clock, in microseconds. */
  9: required i64 sent_at_us,
  /** The receiver's clock in the last datagram that the sender had from it. */
  10: optional i64 echo_us,
  /** Microseconds from that datagram's arrival to this one's sending. */
  11: optional i64 held_us,
  12: required i64 version,
  /** Age of the sender's knowledge of the configuration; absent if it has none. */
  13: optional i64 knowledge_age_us,
  14: optional list<EndpointWork> work,
  15: optional list<ServiceWait> waits,
  16: optional list<TokenBalance> balances,
  17: optional list<TokenGrant> grants,
  18: optional list<CrashRecord> crashes,
  19: optional list<PeerAddress> peers,
}
