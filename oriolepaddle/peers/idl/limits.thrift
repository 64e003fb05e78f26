namespace py oriolepaddle.peers.gen_py.limits

/** A period in which an instance held its claim without interruption. */
struct Life {
  1: required i64 incarnation,
  /** How often the instance has released its claim since it started. */
  2: required i32 lapses,
}

/** What the sender reserves for one member of its data centre. */
struct MemberState {
  1: required string instance,
  2: required Life life,
  /** A part, from 0 to 1, of the data centre's share. */
  3: required double reserved,
}

struct RenewRequest {
  1: required string instance,
  2: required Life life,
  3: required string data_centre,
  /** Increases with each request of the instance to one member. */
  4: required i64 sequence,
  /** The claim that the sender may currently be using. */
  5: required double held,
  /** The claim to reserve; never less than what the sender holds. */
  6: required double wanted,
  /** Digests of the weight tables that apply to the sender. */
  7: required list<i64> tables,
  8: required bool is_warm,
  /** Whether the sender is draining and lends everything that it has. */
  9: required bool is_draining,
}

struct RenewReply {
  1: required bool accepted,
  2: required Life life,
  3: required double granted,
  4: required double held,
  5: required bool is_warm,
  6: required list<MemberState> members,
  7: required list<MemberState> ended,
  8: required list<i64> tables,
  9: required bool holds_loans,
  /** The other data centres, for a member that is not warm. */
  10: required list<Roster> rosters,
}

/** The instances of a data centre that may be running, listed or not. */
struct Roster {
  1: required string data_centre,
  2: required list<string> instances,
}

struct LeaveRequest {
  1: required string instance,
  2: required Life life,
  3: required string data_centre,
  /** The members known to the sender. */
  4: required list<MemberState> members,
}

struct LeaveReply {
}

struct ProbeRequest {
  1: required string data_centre,
}

struct ProbeReply {
  1: required bool is_warm,
  /** Digests of the weight tables that apply to every member there. */
  2: required list<i64> tables,
  /** The newest weight table known to the replying instance. */
  3: required i64 newest,
  4: required bool holds_loans,
  /** The members of the replying instance's data centre, empty unless it is warm. */
  5: required list<string> members,
  /** The members of the querying instance's data centre known to the replying one. */
  6: required list<string> past,
}

struct LoanRequest {
  1: required string organisation,
  /** A part, from 0 to 1, of the organisation's rate and burst. */
  2: required double share,
  /** Capacity that the sender leaves free for tokens without a share. */
  3: required double tokens,
  4: required double balance,
  5: required double capacity,
}

struct Loan {
  1: required string organisation,
  2: required i64 number,
  /** 0 if only tokens are lent. */
  3: required double share,
  4: required double tokens,
  /** Measured by the lender from its reply, by the borrower from its request. */
  5: required double duration_s,
}

struct Renewal {
  1: required i64 number,
  2: required double duration_s,
  /** The remaining share of the loan. */
  3: required double share,
}

struct BorrowRequest {
  1: required string instance,
  2: required list<LoanRequest> wanted,
  /** Numbers of the loans to renew. */
  3: required list<i64> renewed,
  /** The lender's incarnation in which those loans were made. */
  4: required i64 lender_incarnation,
}

struct BorrowReply {
  1: required i64 incarnation,
  2: required list<Loan> loans,
  /** Loans renewed in part or for a time other than `duration_s`. */
  3: required list<Renewal> renewed,
  /** Loans that the lender needs back as soon as possible. */
  4: required list<i64> recalled,
  /** The time for which all other loans to renew are renewed in full. */
  5: required double duration_s,
}

struct ReturnedLoan {
  1: required i64 number,
  2: required double tokens,
}

struct ReturnRequest {
  1: required string instance,
  2: required i64 lender_incarnation,
  3: required list<ReturnedLoan> loans,
}

struct ReturnReply {
}

struct DrawRequest {
  1: required string instance,
  2: required i64 incarnation,
  3: required i64 number,
  4: required string organisation,
  5: required double tokens,
}

struct DrawReply {
  /** Tokens debited for the request, from 0 to the requested number. */
  1: required double tokens,
  /** Instances that may have more tokens, the best first. */
  2: required list<string> others,
}

struct Settlement {
  1: required i64 number,
  2: required double used,
}

struct SettleRequest {
  1: required string instance,
  2: required i64 incarnation,
  3: required list<Settlement> settlements,
}

struct SettleReply {
}

service Limits {
  RenewReply renew(1: RenewRequest request),
  LeaveReply leave(1: LeaveRequest request),
  ProbeReply probe(1: ProbeRequest request),
  BorrowReply borrow(1: BorrowRequest request),
  ReturnReply give_back(1: ReturnRequest request),
  DrawReply draw(1: DrawRequest request),
  SettleReply settle(1: SettleRequest request),
}
