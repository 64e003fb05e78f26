namespace py oriolepaddle.peers.gen_py.link

/** The first message on each connection between instances. */
struct Hello {
  1: required i32 version,
  2: required string instance,
  3: required i64 incarnation,
  4: required string data_centre,
  5: required binary nonce,
}

struct HelloReply {
  1: required i32 version,
  2: required string instance,
  3: required i64 incarnation,
  4: required string data_centre,
  /** HMAC-SHA256 of both nonces and the sender's identity, keyed by the peer secret. */
  5: required binary proof,
  6: required binary nonce,
}

struct Proof {
  1: required binary proof,
}

struct Accepted {
}

exception LinkRejected {
  1: required string reason,
}

service Link {
  HelloReply hello(1: Hello request) throws (1: LinkRejected rejected),
  Accepted prove(1: Proof request) throws (1: LinkRejected rejected),
}
