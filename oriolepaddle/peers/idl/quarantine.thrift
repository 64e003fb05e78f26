namespace py oriolepaddle.peers.gen_py.quarantine

/** A crash of one incarnation of an endpoint, with a request in flight. */
struct CrashRecord {
  1: required string endpoint,
  2: required string incarnation,
  /** Distinguishes crashes of one incarnation after the first was refuted. */
  3: required i32 ordinal,
  4: required bool is_acquitted,
  /** A relative time, because instances do not share a clock. */
  5: required i32 remaining_life_ms,
}

/** The crashes that are attributed to one fingerprint. */
struct EntryRecord {
  1: required binary fingerprint,
  /** Increases when an operator clears the entry; lower ones are ignored. */
  2: required i64 generation,
  3: required list<CrashRecord> crashes,
  4: required i32 remaining_life_ms,
}

/** A run of a suspect that is about to start or in flight. */
struct ClaimRecord {
  1: required binary fingerprint,
  2: required string endpoint,
  3: required bool is_running,
}

/** All claims of one instance; a higher (incarnation, sequence) replaces it. */
struct ClaimSet {
  1: required string instance,
  2: required i64 incarnation,
  3: required i64 sequence,
  4: required list<ClaimRecord> claims,
  5: required i32 remaining_life_ms,
}

struct Report {
  1: required list<EntryRecord> entries,
  2: required list<ClaimSet> claims,
}

struct ReportReply {
}

struct CompareRequest {
  1: required binary digest,
}

/** The complete state of the callee, empty if the digests are equal. */
struct CompareReply {
  1: required bool is_equal,
  2: required Report report,
}

service Quarantine {
  ReportReply report(1: Report request),
  CompareReply compare(1: CompareRequest request),
}
