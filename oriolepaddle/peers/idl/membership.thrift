namespace py oriolepaddle.peers.gen_py.membership

/** The state of an instance in one incarnation. */
struct MemberRecord {
  1: required string instance,
  2: required i64 incarnation,
  3: required string data_centre,
  4: required string caller_address,
  5: required string peer_address,
  6: required i32 size_thousandths,
  7: required bool is_leaving,
  /** Milliseconds since the instance itself was last seen. */
  8: required i64 age_ms,
}

/** The load of one route in one data centre. */
struct LoadRecord {
  1: required string data_centre,
  2: required string route,
  3: required i32 queueing_ms,
  4: required i32 free_slots,
  /** Milliseconds since the load was measured. */
  5: required i32 age_ms,
  /** Requests per minute that the endpoints can complete. */
  6: optional i32 requests_per_min,
  7: optional i32 prefill_tokens_per_s,
}

struct Heartbeat {
  1: required string instance,
  2: required i64 incarnation,
  3: required bool is_leaving,
  4: required i64 config_digest,
  5: required i64 highest_ticket,
  6: optional list<MemberRecord> members,
  7: optional list<LoadRecord> loads,
  /** Whether the instance accepts requests from callers. */
  8: required bool is_ready,
}

service Membership {
  Heartbeat exchange(1: Heartbeat request),
}
