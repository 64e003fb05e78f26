namespace py oriolepaddle.peers.gen_py.gossip

/** The state of an instance in one incarnation. */
struct InstanceRecord {
  1: required string instance,
  2: required i64 incarnation,
  3: required string data_centre,
  4: required string caller_address,
  5: required string peer_address,
  6: required i32 size_thousandths,
  7: required bool is_ready,
  8: required bool is_leaving,
  /** Milliseconds since the instance itself was last seen. */
  9: required i32 age_ms,
}

/** A part of a prompt, with the id that the gateway's callers give it. */
struct SentPart {
  1: required string id,
  2: required i32 tokens,
}

/** The load that requests of one or more instances put on an endpoint. */
struct EndpointWork {
  1: required string endpoint,
  2: required i32 running,
  3: required i32 prefill_tokens,
  4: required i32 memory_tokens,
  /** Measured and expected time to the first event of recent requests. */
  5: optional i32 reading_ms,
  6: optional i32 expected_ms,
  /** Parts of long prompts that were recently sent to the endpoint. */
  7: optional list<SentPart> sent_parts,
}

/** The expected wait of a request in a region. */
struct RegionWait {
  1: required string region,
  2: required string service_name,
  /** The largest number if the region can run no request of the service. */
  3: required i32 wait_ms,
  /** The time since the region announced it. */
  4: optional i32 age_ms,
  /** The part of the region's capacity for the service that is in use. */
  5: optional i32 used_thousandths,
}

/** The tokens of an organisation that an instance can spare, and that it needs. */
struct TokenBalance {
  1: required string organisation,
  2: required i64 spare,
  3: required i64 wanted,
}

/** Tokens that the sender transfers to the receiver. */
struct TokenGrant {
  1: required string organisation,
  2: required i64 tokens,
}

/** The runs at an endpoint when it crashed or broke them off. */
struct EndpointCrash {
  1: required string incarnation,
  /** Parts of prompts whose response had begun, and of those that only waited. */
  2: required list<string> answering,
  3: required list<string> waiting,
  /** Digests of whole requests without an event. */
  4: required list<string> requests,
  /** What has been answered since, and so is not the cause. */
  5: required list<string> cleared,
  /** The time since the crash, as instances do not share a clock. */
  6: required i32 age_ms,
  /** Digests of whole requests that were cut off later, or without a crash seen. */
  7: optional list<string> cut,
  /** Like 2 and 3, while nothing shows that the endpoint has ended. */
  8: optional list<string> unconfirmed_answering,
  9: optional list<string> unconfirmed_waiting,
}

/** The limit that an endpoint of the sender's region named, or has lifted. */
struct EndpointLimit {
  1: required string incarnation,
  /** The time since the endpoint is known to have said so. */
  2: required i32 age_ms,
  /** Requests a second from all instances together; absent if lifted. */
  3: optional double limit_per_s,
}

/** An endpoint of the sender's region that has said that it leaves. */
struct LeavingEndpoint {
  1: required string incarnation,
  2: required i32 age_ms,
}

/** The state that an instance sends to another several times a second. */
struct Announcement {
  1: required InstanceRecord sender,
  /** The sender's clock, in microseconds. */
  2: required i64 sent_at_us,
  /** `sent_at_us` of the last announcement received from the receiver. */
  3: optional i64 echo_us,
  /** Microseconds from the receipt of that announcement to the sending of this one. */
  4: optional i64 held_us,
  5: required i64 version,
  /** Time since the sender's configuration was last confirmed; absent if never. */
  6: optional i64 knowledge_age_us,
  7: optional i64 catalog_digest,
  /** Whether the receiver may mint the sender's share of each rate. */
  8: required bool delegates,
  9: optional list<EndpointWork> work,
  10: optional list<RegionWait> waits,
  11: optional list<TokenBalance> balances,
  12: optional list<TokenGrant> grants,
  14: optional list<InstanceRecord> members,
  /** The number of instances that may be running, by data centre. */
  15: optional map<string, i32> counts,
  /** Time since the endpoints in `catalog_digest` were confirmed to be complete. */
  16: optional i64 endpoints_age_us,
  /** The receiver's incarnation by whose clock `echo_us` was measured. */
  17: optional i64 echo_incarnation,
  /** 13 had the crashes of whole requests. */
  18: optional list<EndpointCrash> crashes,
  /** Only to instances of the same region. */
  19: optional list<EndpointLimit> limits,
  20: optional list<LeavingEndpoint> leaving,
}

/** A request for an organisation's tokens, or for permits for an endpoint. */
struct Draw {
  1: required i64 number,
  2: required string organisation,
  3: required i64 tokens,
}

/** The reply to a draw; no tokens if too few are available. */
struct DrawReply {
  1: required i64 number,
  2: required i64 tokens,
  3: required i32 retry_after_ms,
  /** Tokens that were available when the draw was refused. */
  4: required i64 available,
}

/** One datagram; exactly one field is set. */
struct Datagram {
  1: optional Announcement announcement,
  2: optional Draw draw,
  3: optional DrawReply reply,
}
