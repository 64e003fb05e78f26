namespace py oriolepaddle.peers.gen_py.configuration

/** The complete state of one object; without a document, the object is deleted. */
struct EntryRecord {
  1: required string kind,
  2: required string id,
  3: required i64 number,
  4: optional string document,
}

struct FloorRecord {
  1: required i64 number,
  2: required i64 digest,
}

/** A part of a transfer; its entries are merged together with the last part. */
struct PushRequest {
  1: required string sender,
  2: required i64 transfer,
  3: required i32 part,
  4: required bool is_last,
  5: required list<EntryRecord> entries,
}

struct PushReply {
  /** Whether the transfer may continue; if not, a part was lost. */
  1: required bool is_accepted,
}

struct CompareRequest {
  1: required string sender,
  2: required FloorRecord floor,
  /** 64-bit digests of the groups, big-endian. */
  3: required binary group_digests,
}

struct CompareReply {
  1: required FloorRecord floor,
  2: required bool is_caught_up,
  /** The bucket digests of each group that differs. */
  3: required map<i16, binary> bucket_digests,
}

struct KnownBucket {
  1: required i16 bucket,
  /** Pairs of 64-bit hashes of name and entry, big-endian. */
  2: required binary known,
}

struct FetchRequest {
  1: required string sender,
  2: required list<KnownBucket> buckets,
}

struct FetchedBucket {
  1: required i16 bucket,
  /** Entries that the caller lacks or has in another state. */
  2: required list<EntryRecord> entries,
  /** Hashes of the names that only the caller has. */
  3: required binary absent,
  /** Whether all entries fit; if not, the caller fetches the bucket again. */
  4: required bool is_whole,
}

struct FetchReply {
  1: required FloorRecord floor,
  /** The first buckets of the request, as many as fit. */
  2: required list<FetchedBucket> buckets,
}

service Configuration {
  PushReply push(1: PushRequest request),
  CompareReply compare(1: CompareRequest request),
  FetchReply fetch(1: FetchRequest request),
}
