namespace py oriolepaddle.peers.gen_py.gossip

/** What is known of an instance in one of its lives. */
struct InstanceRecord {
  1: required string instance,
  2: required i64 incarnation,
  3: required string data_centre,
  4: required string caller_address,
  5: required string peer_address,
  6: required i32 size_thousandths,
  7: required bool is_ready,
  8: required bool is_leaving,
  /** Milliseconds since the instance itself was heard. */
  9: required i32 age_ms,
}

/** A part of a prompt, as the gateway's callers name it. */
struct SentPart {
  1: required string id,
  2: required i32 tokens,
}

/** What runs at an endpoint by requests of one or more instances. */
struct EndpointWork {
  1: required string endpoint,
  2: required i32 running,
  3: required i32 prefill_tokens,
  4: required i32 memory_tokens,
  /** Time that first events took of late, and that was expected of them. */
  5: optional i32 reading_ms,
  6: optional i32 expected_ms,
  /** Parts of long prompts that were sent there of late. */
  7: optional list<SentPart> sent_parts,
}

/** The wait that a request would meet in a region. */
struct RegionWait {
  1: required string region,
  2: required string service_name,
  3: required i32 wait_ms,
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

/** What an instance tells another several times a second. */
struct Announcement {
  1: required InstanceRecord sender,
  /** The sender's clock, in microseconds. */
  2: required i64 sent_at_us,
  /** The receiver's clock in the last announcement that the sender had from it. */
  3: optional i64 echo_us,
  /** Microseconds from that announcement's arrival to this one's sending. */
  4: optional i64 held_us,
  5: required i64 version,
  /** Age of the sender's knowledge of the configuration; absent if it has none. */
  6: optional i64 knowledge_age_us,
  7: optional i64 catalog_digest,
  /** Whether the receiver may mint the sender's part of each rate. */
  8: required bool delegates,
  9: optional list<EndpointWork> work,
  10: optional list<RegionWait> waits,
  11: optional list<TokenBalance> balances,
  12: optional list<TokenGrant> grants,
  13: optional list<CrashRecord> crashes,
  14: optional list<InstanceRecord> members,
  /** Instances that there may be, by data centre. */
  15: optional map<string, i32> counts,
  /** Age of the sender's knowledge of the endpoints that the digest is of. */
  16: optional i64 endpoints_age_us,
  /** The receiver's life by whose clock `echo_us` is. */
  17: optional i64 echo_incarnation,
}

/** A request for an organisation's tokens. */
struct Draw {
  1: required i64 number,
  2: required string organisation,
  3: required i64 tokens,
}

/** The answer to a draw; no tokens if there are too few. */
struct DrawReply {
  1: required i64 number,
  2: required i64 tokens,
  3: required i32 retry_after_ms,
  /** What there was when the draw was refused. */
  4: required i64 available,
}

/** One datagram; one field is set. */
struct Datagram {
  1: optional Announcement announcement,
  2: optional Draw draw,
  3: optional DrawReply reply,
}
