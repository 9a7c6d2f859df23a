/**
 * Protocol between sailgate nodes and the format of replicated journal entries.
 *
 * Source of `generated/`; regenerate with scripts/generate after every change.
 * Times are milliseconds of the sender's monotonic clock unless a field name says otherwise.
 */
namespace cpp sailgate.wire

/** Closed list of error kinds; src/base/error_table.cpp maps each one to its answer. */
enum ErrorKind {
  kNone = 0
  kMalformedRequest = 1
  kBodyTooLarge = 2
  kInvalidUtf8 = 3
  kUnknownResource = 4
  kMethodNotAllowed = 5
  kUnknownProgram = 6
  kProgramEnded = 7
  kWrongSequence = 8
  kCallInProgress = 9
  kKeyReused = 10
  kBudgetExceeded = 11
  kCallLimitReached = 12
  kTenantLimited = 13
  kUnauthorized = 14
  kNoFeasibleBackend = 15
  kOverloaded = 16
  kSlotUnavailable = 17
  kStopping = 18
  kStorageFull = 19
  kBackendRefused = 20
  kBackendFailed = 21
  kBackendTimeout = 22
  kOutcomeUnknown = 23
  kUnknownCall = 24
  kDeadlineExceeded = 25
  kInternal = 26
  kConfigurationStale = 27
  kBundleConflict = 28
  kBundleRefused = 29
  kHeaderTooLarge = 30
  kRequestTimeout = 31
  kUnknownTurn = 32
  kStoreUnavailable = 33
  kNotConfigured = 34
  kBackendBusy = 35
}

/** What is known about the execution of a call on its back end. */
enum Ran { kNotRun = 0, kUnknown = 1, kRan = 2 }

enum TargetKind { kEngine = 0, kApplication = 1, kTool = 2 }

/** How an attempt ended. */
enum Outcome { kSucceeded = 0, kFailed = 1, kNotRun = 2, kUnknown = 3 }

// ---------------------------------------------------------------- membership

/**
 * One incarnation of a node process. A restarted process gets a new, higher id: start time in the
 * upper bits, random lower bits.
 */
struct Member {
  1: i64 id
  2: string host
  3: i32 rpc_port
  4: string zone
}

enum MemberStatus { kAlive = 0, kSuspect = 1, kLeaving = 2, kDead = 3 }

/** Status claim about a member; the higher (counter, status) wins. */
struct MemberRumor {
  1: Member member
  2: MemberStatus status
  3: i32 counter
}

/** Location of a slot's replica group; the higher (epoch, view, members_index) wins. */
struct SlotRumor {
  1: i32 slot
  6: i64 epoch
  2: i64 view
  3: i64 members_index
  4: i64 leader
  5: list<i64> members
}

/** Status of a back end; the higher counter wins. */
struct BackendRumor {
  1: string backend
  2: i64 counter
  3: bool leaving
}

union Rumor {
  1: MemberRumor member
  2: SlotRumor slot
  3: BackendRumor backend
}

struct Ping { 1: i32 sequence }
struct PingReply { 1: i32 sequence }
/** Asks the receiver to probe `target` on the sender's behalf. */
struct IndirectPing { 1: i32 sequence; 2: i64 target }
/** Asks for the rumors of those table buckets whose digest differs. */
struct SyncRequest { 1: list<i64> bucket_digests }
/** Rumors of the differing buckets travel in the envelope. */
struct SyncReply { 1: i32 buckets }

// --------------------------------------------------------------- configuration

/** What one partner allows one of its tenants. */
struct TenantRule {
  1: string name
  /** BLAKE2b-128 digests of bearer tokens, hexadecimal; none: no token is needed. */
  2: list<string> token_hashes
}

/** What one partner allows programs of a kind. */
struct ProgramRule {
  1: string kind
  2: i32 priority
  3: i64 budget_limit_tokens
  4: i32 call_limit
}

/** Share of the engines of a model kept for programs of a kind. */
struct Reservation {
  1: string model
  2: string kind
  3: i32 share_percent
}

/** Zones whose engines a kind's calls should use. */
struct PlacementWish {
  1: string kind
  2: list<string> zones
}

/** One partner's wishes; `builds_on` is the generation they were checked against. */
struct Bundle {
  1: string partner
  2: i64 version
  3: i64 builds_on
  4: list<TenantRule> tenants
  5: list<ProgramRule> programs
  6: list<Reservation> reservations
  7: list<PlacementWish> placements
}

struct Signature { 1: string partner; 2: binary bytes }
struct SignedBundle { 1: Bundle bundle; 2: list<Signature> signatures }

/** Everything in force: the newest accepted bundle of each partner. */
struct Configuration {
  1: i64 generation
  2: list<Bundle> bundles
}

// --------------------------------------------------------------- journal

struct ProgramOpened {
  1: string program
  2: string tenant
  3: string kind
  4: i64 budget_tokens
  5: string parent
  6: i32 call_limit
  7: i64 opened_at_unix_ms
}

struct CallAdmitted {
  1: string program
  2: i32 sequence
  3: string request_key
  4: i64 request_digest
  5: string request_body
  6: TargetKind target_kind
  7: string target
  8: bool repeatable
  9: i64 reserved_tokens
}

struct AttemptStarted {
  1: string program
  2: i32 sequence
  3: i64 attempt
  4: string backend
  5: i64 gateway
  6: i64 nonce
  7: i64 deadline_in_ms
  8: string request_key
}

struct AttemptEnded {
  1: string program
  2: i32 sequence
  3: i64 attempt
  4: Outcome outcome
  5: ErrorKind error
  6: i64 used_tokens
  7: string result
}

struct ToolPauseReported {
  1: string program
  2: i64 expected_ms
}

struct ProgramClosed {
  1: string program
  2: string reason
}

struct EvictionAcknowledged {
  1: string program
  2: string backend
}

/** Gives up a call that is admitted but has no attempt under way. */
struct CallWithdrawn {
  1: string program
  2: i32 sequence
  3: string request_key
}

/** Drops an ended program that owes nothing, after its retention time. */
struct ProgramForgotten { 1: string program }

/**
 * Replaces the member list of the replica group itself. While `previous` is not empty, both lists
 * are in force: every decision needs a majority of each (joint consensus).
 */
struct MembersChanged {
  1: list<Member> members
  2: list<Member> previous
}

/**
 * The slot's row in the table service. `token` is unique to one write. `epoch` grows with each
 * founding or recovery of the slot's group; groups of older epochs are void.
 */
struct SlotRow {
  5: i64 epoch
  1: i64 view
  2: i64 members_index
  3: list<Member> members
  4: i64 token
}

/** The leader is about to write this row; the write may take effect any time from now. */
struct RowIntended { 1: SlotRow row }
/** The row is known to be in the table; earlier intentions can no longer take effect. */
struct RowRecorded { 1: SlotRow row; 2: i64 version }

/** A bundle signed by all partners; takes effect if it builds on the generation in force. */
struct ConfigurationAccepted { 1: SignedBundle signed_bundle }

/** First entry of a view; carries no change. */
struct ViewStarted {}

/** By reference: the union stays small, and copies share the immutable entry. */
union JournalEntry {
  1: ProgramOpened& program_opened
  2: CallAdmitted& call_admitted
  3: AttemptStarted& attempt_started
  4: AttemptEnded& attempt_ended
  5: ToolPauseReported& tool_pause_reported
  6: ProgramClosed& program_closed
  7: EvictionAcknowledged& eviction_acknowledged
  8: MembersChanged& members_changed
  9: ViewStarted& view_started
  10: ProgramForgotten& program_forgotten
  11: RowIntended& row_intended
  12: RowRecorded& row_recorded
  13: CallWithdrawn& call_withdrawn
  14: ConfigurationAccepted& configuration_accepted
}

struct LogRecord {
  1: i64 view
  2: JournalEntry entry
}

// --------------------------------------------------------------- replication

struct AppendRequest {
  1: i64 view
  2: i64 previous_index
  3: i64 previous_view
  4: list<LogRecord> records
  5: i64 commit_index
  6: i64 sent_at
}

struct AppendReply {
  1: i64 view
  2: bool accepted
  3: i64 match_index
  4: i64 sent_at
  /** Counts how often the sender has dropped its log; older answers say nothing about it. */
  5: i32 generation
}

struct VoteRequest {
  1: i64 view
  2: i64 last_index
  3: i64 last_view
  4: bool trial
  5: bool transfer
}

struct VoteReply {
  1: i64 view
  2: bool granted
  3: bool trial
}

struct InstallSnapshot {
  1: i64 view
  2: i64 last_index
  3: i64 last_view
  4: list<Member> members
  5: i64 members_index
  6: binary state
  7: i64 sent_at
  8: list<Member> previous
}

/** Tells the receiver to start an election at once (leadership transfer). */
struct ElectNow { 1: i64 view }

/** Tells a removed member that the list at `members_index`, without it, is committed. */
struct Removed { 1: i64 view; 2: i64 members_index }

/** By reference, as JournalEntry. */
union GroupBody {
  1: AppendRequest& append_request
  2: AppendReply& append_reply
  3: VoteRequest& vote_request
  4: VoteReply& vote_reply
  5: InstallSnapshot& install_snapshot
  6: ElectNow& elect_now
  7: Removed& removed
}

struct GroupMessage {
  1: i32 slot
  3: i64 epoch
  2: GroupBody body
}

/** Everything one node sends to one peer in one step. */
struct Envelope {
  1: Member sender
  2: i64 receiver
  3: list<GroupMessage> groups
  4: list<Rumor> rumors
  5: optional Ping ping
  6: optional PingReply ping_reply
  7: optional IndirectPing indirect_ping
  8: optional SyncRequest sync_request
  9: optional SyncReply sync_reply
}

// ------------------------------------------------------------ program requests

struct OpenProgram { 1: ProgramOpened program }

struct AdmitCall {
  1: CallAdmitted call
  2: i64 gateway
  3: i64 nonce
  4: i64 deadline_in_ms
  5: string tenant
}

struct CompleteAttempt { 1: AttemptEnded ended }

struct LookUpCall { 1: string program; 2: string request_key; 3: string tenant }
struct ReadProgram { 1: string program; 2: string tenant }
struct ReportToolPause { 1: ToolPauseReported pause; 2: string tenant }
struct EndProgram { 1: ProgramClosed closed; 2: string tenant }

/** Rolls a bundle out; answered when no node serves under an older generation any more. */
struct RollConfiguration { 1: SignedBundle signed_bundle }
/** A node asks to go on serving; `generation` is the one it serves under. */
struct RenewConfigurationLease { 1: i64 member; 2: i64 generation }

union ProgramRequest {
  1: OpenProgram open_program
  2: AdmitCall admit_call
  3: CompleteAttempt complete_attempt
  4: LookUpCall look_up_call
  5: ReadProgram read_program
  6: ReportToolPause report_tool_pause
  7: EndProgram end_program
  8: RollConfiguration roll_configuration
  9: RenewConfigurationLease renew_configuration_lease
}

/** One finished call of a program's history. */
struct Turn {
  1: i32 sequence
  2: string request_key
  3: string request_body
  4: TargetKind target_kind
  5: string result
}

/** Permission to send one attempt to one back end. */
struct Grant {
  1: i64 attempt
  2: string backend
  3: i64 fence
  4: i64 deadline_in_ms
  5: list<Turn> history
  6: i64 token_ceiling
  /** Attempts of this call before this one; if any, "not run" can no longer be said. */
  7: i32 earlier_attempts
}

struct CallOutcome {
  1: Outcome outcome
  2: ErrorKind error
  3: i64 used_tokens
  4: string result
  5: i32 sequence
}

struct Refusal {
  1: ErrorKind kind
  2: i64 retry_after_ms
  3: Ran ran
  4: string detail
}

struct ProgramView {
  1: string program
  2: string tenant
  3: string kind
  4: i64 budget_tokens
  5: i64 settled_tokens
  6: i64 reserved_tokens
  7: bool ended
  8: i32 next_sequence
  9: string history_digest
  10: list<Turn> history
  11: list<string> evictions_owed
}

/** The receiver does not lead the slot; `leader` is 0 when it knows none. */
struct Redirect { 1: i64 leader }

struct Accepted { 1: string program }

/** Grants a configuration lease; the configuration is set only when it is newer than the asker's. */
struct ConfigurationLease {
  1: i64 generation
  2: i64 duration_ms
  3: optional Configuration configuration
}

union ProgramReply {
  1: Accepted accepted
  2: Grant grant
  3: CallOutcome outcome
  4: Refusal refusal
  5: ProgramView view
  6: Redirect redirect
  7: ConfigurationLease configuration_lease
}

// ------------------------------------------------------------------- state

enum CallPhase { kAdmitted = 0, kRunning = 1, kUnknown = 2, kDone = 3 }

struct CallRecord {
  1: CallAdmitted call
  2: CallPhase phase
  3: i64 attempt
  4: i32 attempts
  5: string backend
  6: i64 gateway
  7: i64 nonce
  8: CallOutcome outcome
  9: i64 deadline_in_ms
  /** Whether the call's tokens are part of the program's reserved tokens now. */
  10: bool reservation_held
}

struct ProgramRecord {
  1: ProgramOpened opened
  2: i64 settled_tokens
  3: i64 reserved_tokens
  4: bool ended
  5: i32 next_sequence
  6: string history_digest
  7: list<CallRecord> calls
  8: list<string> backends_used
  9: list<string> evictions_owed
}

struct SlotSnapshot {
  1: list<ProgramRecord> programs
  2: list<SlotRow> possible_rows
  3: Configuration configuration
}

// ------------------------------------------------------------------ services

service Node {
  /** Delivers one envelope; nothing is answered, replies come as envelopes. */
  oneway void deliver(1: Envelope envelope)
  /** Runs one program request on the slot's leader. */
  ProgramReply execute(1: i32 slot, 2: ProgramRequest request)
  /** Tells the receiver's member id and zone. */
  Member identify()
}
