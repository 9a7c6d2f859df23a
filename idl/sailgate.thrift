/**
 * Types of the product's own interface: programs, calls, bundles, and their rows in the table store.
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
  kRequestQuarantined = 36
}

/** What is known about the execution of a call on its back end. */
enum Ran { kNotRun = 0, kUnknown = 1, kRan = 2 }

enum TargetKind { kEngine = 0, kApplication = 1, kTool = 2 }

/** How an attempt ended. */
enum Outcome { kSucceeded = 0, kFailed = 1, kNotRun = 2, kUnknown = 3 }

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

// --------------------------------------------------------------- changes of a program

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
  /** Process that runs the attempt. */
  5: i64 gateway
  6: i64 nonce
  7: i64 deadline_in_ms
  8: string request_key
  /** Where that process can be asked about its attempts. */
  9: string gateway_address
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

// ------------------------------------------------------------ program requests

struct OpenProgram { 1: ProgramOpened program }

struct AdmitCall {
  1: CallAdmitted call
  2: i64 gateway
  3: i64 nonce
  4: i64 deadline_in_ms
  5: string tenant
  6: string gateway_address
}

struct CompleteAttempt { 1: AttemptEnded ended }

struct LookUpCall { 1: string program; 2: string request_key; 3: string tenant }
struct ReadProgram { 1: string program; 2: string tenant }
struct ReportToolPause { 1: ToolPauseReported pause; 2: string tenant }
struct EndProgram { 1: ProgramClosed closed; 2: string tenant }

/** Rolls a bundle out; answered when no node serves under an older generation any more. */
struct RollConfiguration { 1: SignedBundle signed_bundle }

union ProgramRequest {
  1: OpenProgram open_program
  2: AdmitCall admit_call
  3: CompleteAttempt complete_attempt
  4: LookUpCall look_up_call
  5: ReadProgram read_program
  6: ReportToolPause report_tool_pause
  7: EndProgram end_program
  8: RollConfiguration roll_configuration
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

struct Accepted { 1: string program }

/** Nothing is set when nobody could tell in time. */
union ProgramReply {
  1: Accepted accepted
  2: Grant grant
  3: CallOutcome outcome
  4: Refusal refusal
  5: ProgramView view
}

// ------------------------------------------------------------------- rows

enum CallPhase { kAdmitted = 0, kRunning = 1, kUnknown = 2, kDone = 3 }

/** The texts of a call (request body and result) have rows of their own. */
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
  11: i64 started_at_unix_ms
  12: string gateway_address
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
  10: i64 changed_at_unix_ms
}

/** A root program with all its sub-programs: what one conditional write decides about. */
struct FamilyRow {
  1: list<ProgramRecord> programs
  /** Attempts started so far; orders them for back ends. */
  2: i64 attempts_started
}

/** When somebody must look at a family though no caller asks. */
struct DueRow { 1: i64 due_at_unix_ms }
