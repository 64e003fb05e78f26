namespace py oriolepaddle.peers.gen_py.limits

/** One span in which an instance held claims without a break. */
struct Life {
  1: required i64 incarnation,
  /** How often the instance has given its claim up since it started. */
  2: required i32 lapses,
}

/** What the sender holds back for one member of its data centre. */
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
  /** Grows with each request of the instance to one member. */
  4: required i64 sequence,
  /** What the sender may be using now. */
  5: required double held,
  /** The claim to reserve; never less than what the sender holds. */
  6: required double wanted,
  /** Digests of the weight tables that bound the sender. */
  7: required list<i64> tables,
  8: required bool is_warm,
  /** Whether the sender drains and lends all that it has. */
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
  /** What a member that is not warm has to learn of the other data centres. */
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
  /** The members that the sender knows. */
  4: required list<MemberState> members,
}

struct LeaveReply {
}

struct ProbeRequest {
  1: required string data_centre,
}

struct ProbeReply {
  1: required bool is_warm,
  /** Digests of the weight tables that bound every member there. */
  2: required list<i64> tables,
  /** The newest weight table that the answering instance has seen. */
  3: required i64 newest,
  4: required bool holds_loans,
  /** The answering instance's own data centre, empty unless it is warm. */
  5: required list<string> members,
  /** What the answering instance knows of the asking one's data centre. */
  6: required list<string> past,
}

struct LoanRequest {
  1: required string organisation,
  /** A part, from 0 to 1, of the organisation's rate and burst. */
  2: required double share,
  /** Room that the sender keeps free for tokens without a share. */
  3: required double tokens,
  4: required double balance,
  5: required double capacity,
}

struct Loan {
  1: required string organisation,
  2: required i64 number,
  /** 0 for tokens alone. */
  3: required double share,
  4: required double tokens,
  /** Counted by the lender from its answer, by the borrower from its call. */
  5: required double duration_s,
}

struct Renewal {
  1: required i64 number,
  2: required double duration_s,
  /** What is left of the loan. */
  3: required double share,
}

struct BorrowRequest {
  1: required string instance,
  2: required list<LoanRequest> wanted,
  /** Numbers of the loans to prolong. */
  3: required list<i64> renewed,
  /** The lender's life in which those loans were made. */
  4: required i64 lender_incarnation,
}

struct BorrowReply {
  1: required i64 incarnation,
  2: required list<Loan> loans,
  /** Loans renewed in part or for another time than `duration_s`. */
  3: required list<Renewal> renewed,
  /** Loans that the lender needs back as soon as may be. */
  4: required list<i64> recalled,
  /** For how long all other loans to prolong are renewed in full. */
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
  /** Tokens debited for the request, from 0 to what was asked. */
  1: required double tokens,
  /** Instances that may have more, the best first. */
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
