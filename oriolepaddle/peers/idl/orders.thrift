namespace py oriolepaddle.peers.gen_py.orders

struct Header {
  1: required string name,
  2: required string value,
}

/** One attempt to send an order to its issuer; each attempt has its own number. */
struct OrderCall {
  1: required string number,
  2: required string organisation,
  3: required string key_digest,
  4: required string method,
  5: required string path,
  6: required list<Header> headers,
  7: required binary body,
  8: required i64 deadline_ms,
  9: required list<string> hops,
  10: required i64 sender_incarnation,
  11: required i64 sending,
  12: required string request_id,
}

/** Queries the outcome of one attempt; if it has not arrived, it will never run. */
struct CollectCall {
  1: required string number,
  2: required string organisation,
  3: required binary digest,
  4: required string sender,
  5: required i64 sender_incarnation,
  6: required i64 sending,
}

/** Queries a successor for an order's stored answer; never runs the order. */
struct FindCall {
  1: required string number,
  2: required string organisation,
  3: required binary digest,
}

struct Answer {
  1: required i32 status,
  2: required list<Header> headers,
  3: required binary body,
  4: required string request_id,
}

struct Failure {
  1: required string code,
  2: required string outcome,
  3: required string message,
  4: optional i64 retry_after_ms,
}

/** Neither field is set while the attempt is still in progress. */
struct OrderReply {
  1: optional Answer answer,
  2: optional Failure failure,
}

struct KeptOrder {
  1: required i64 sequence,
  2: required string organisation,
  3: required binary digest,
  4: optional Answer answer,
}

/** The state of a leaving issuer's orders. */
struct HandoverCall {
  1: required string instance,
  2: required i64 incarnation,
  3: required string data_centre,
  4: required i64 life,
  5: required i64 remaining_ms,
  6: required list<KeptOrder> orders,
}

struct HandoverReply {
  1: required i32 kept,
}

service Orders {
  OrderReply run(1: OrderCall call),
  OrderReply collect(1: CollectCall call),
  OrderReply find(1: FindCall call),
  HandoverReply keep(1: HandoverCall call),
}
