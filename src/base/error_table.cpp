#include "base/error_table.hpp"

#include <algorithm>
#include <array>

namespace sailgate::base {
namespace {

using Kind = wire::ErrorKind;
using wire::Ran;

constexpr std::array kAnswers{
    ErrorAnswer{Kind::kNone, "none", 200, Ran::kRan, RetryRule::kNever, 0, "No error."},
    ErrorAnswer{Kind::kMalformedRequest, "malformed_request", 400, Ran::kNotRun, RetryRule::kNever,
                0, "The request is not valid."},
    ErrorAnswer{Kind::kBodyTooLarge, "body_too_large", 413, Ran::kNotRun, RetryRule::kNever, 0,
                "The request body exceeds the size limit."},
    ErrorAnswer{Kind::kInvalidUtf8, "invalid_utf8", 400, Ran::kNotRun, RetryRule::kNever, 0,
                "The request body is not valid UTF-8."},
    ErrorAnswer{Kind::kUnknownResource, "unknown_resource", 404, Ran::kNotRun, RetryRule::kNever, 0,
                "No such resource."},
    ErrorAnswer{Kind::kMethodNotAllowed, "method_not_allowed", 405, Ran::kNotRun, RetryRule::kNever,
                0, "The resource does not take this method."},
    ErrorAnswer{Kind::kUnknownProgram, "unknown_program", 404, Ran::kNotRun, RetryRule::kNever, 0,
                "No such program."},
    ErrorAnswer{Kind::kProgramEnded, "program_ended", 409, Ran::kNotRun, RetryRule::kNever, 0,
                "The program has ended."},
    ErrorAnswer{Kind::kWrongSequence, "wrong_sequence", 409, Ran::kNotRun, RetryRule::kNever, 0,
                "The call's sequence number is not the next one of the program."},
    ErrorAnswer{Kind::kCallInProgress, "call_in_progress", 409, Ran::kUnknown, RetryRule::kFixed,
                1000, "The call with this key is still running; look it up by its key."},
    ErrorAnswer{Kind::kKeyReused, "key_reused", 409, Ran::kNotRun, RetryRule::kNever, 0,
                "The request key was used for a different request."},
    ErrorAnswer{Kind::kBudgetExceeded, "budget_exceeded", 402, Ran::kNotRun, RetryRule::kNever, 0,
                "The program's remaining budget does not cover the call."},
    ErrorAnswer{Kind::kCallLimitReached, "call_limit_reached", 409, Ran::kNotRun, RetryRule::kNever,
                0, "The program has used its number of calls."},
    ErrorAnswer{Kind::kTenantLimited, "tenant_limited", 429, Ran::kNotRun, RetryRule::kFromState,
                1000, "The tenant is at its limit."},
    ErrorAnswer{Kind::kUnauthorized, "unauthorized", 401, Ran::kNotRun, RetryRule::kNever, 0,
                "A valid bearer token of the tenant is required."},
    ErrorAnswer{Kind::kNoFeasibleBackend, "no_feasible_backend", 503, Ran::kNotRun,
                RetryRule::kFixed, 5000, "No back end can serve this target now."},
    ErrorAnswer{Kind::kOverloaded, "overloaded", 429, Ran::kNotRun, RetryRule::kFromState, 1000,
                "All suitable back ends are busy."},
    ErrorAnswer{Kind::kStopping, "stopping", 503, Ran::kNotRun, RetryRule::kFixed, 200,
                "This node is stopping; use another."},
    ErrorAnswer{Kind::kStorageFull, "storage_full", 503, Ran::kNotRun, RetryRule::kFixed, 10'000,
                "The program's record is full."},
    ErrorAnswer{Kind::kBackendRefused, "backend_refused", 502, Ran::kNotRun, RetryRule::kFixed,
                1000, "The back end did not take the call."},
    ErrorAnswer{Kind::kBackendFailed, "backend_failed", 502, Ran::kRan, RetryRule::kNever, 0,
                "The back end answered with an error."},
    ErrorAnswer{Kind::kBackendTimeout, "backend_timeout", 504, Ran::kUnknown, RetryRule::kFixed,
                2000, "The back end did not answer in time; look the call up by its key."},
    ErrorAnswer{Kind::kOutcomeUnknown, "outcome_unknown", 504, Ran::kUnknown, RetryRule::kFixed,
                2000, "The outcome is not known yet; look the call up by its key."},
    ErrorAnswer{Kind::kUnknownCall, "unknown_call", 404, Ran::kNotRun, RetryRule::kNever, 0,
                "The program has no call with this key."},
    ErrorAnswer{Kind::kDeadlineExceeded, "deadline_exceeded", 504, Ran::kUnknown, RetryRule::kFixed,
                2000, "The call's deadline passed; look it up by its key."},
    ErrorAnswer{Kind::kInternal, "internal", 500, Ran::kUnknown, RetryRule::kFixed, 2000,
                "An internal error occurred; look the call up by its key."},
    ErrorAnswer{Kind::kConfigurationStale, "configuration_stale", 503, Ran::kNotRun,
                RetryRule::kFixed, 1000,
                "This node cannot confirm that its configuration is the newest; use another."},
    ErrorAnswer{Kind::kBundleConflict, "bundle_conflict", 409, Ran::kNotRun, RetryRule::kNever, 0,
                "Another bundle was accepted since this one was prepared."},
    ErrorAnswer{Kind::kBundleRefused, "bundle_refused", 422, Ran::kNotRun, RetryRule::kNever, 0,
                "The bundle or its signatures are not valid."},
    ErrorAnswer{Kind::kHeaderTooLarge, "header_too_large", 431, Ran::kNotRun, RetryRule::kNever, 0,
                "The request's header exceeds the size limit."},
    ErrorAnswer{Kind::kRequestTimeout, "request_timeout", 408, Ran::kNotRun, RetryRule::kNever, 0,
                "The request did not arrive whole in time."},
    ErrorAnswer{Kind::kUnknownTurn, "unknown_turn", 404, Ran::kNotRun, RetryRule::kNever, 0,
                "The turn to go on from does not exist, or is no longer kept."},
    ErrorAnswer{Kind::kStoreUnavailable, "store_unavailable", 503, Ran::kNotRun, RetryRule::kFixed,
                300, "The program's record cannot be reached now."},
    ErrorAnswer{Kind::kNotConfigured, "not_configured", 503, Ran::kNotRun, RetryRule::kFixed, 200,
                "This node has no configuration yet; use another."},
    ErrorAnswer{Kind::kBackendBusy, "backend_busy", 503, Ran::kNotRun, RetryRule::kFixed, 100,
                "No back end took the call."},
    ErrorAnswer{Kind::kRequestQuarantined, "request_quarantined", 502, Ran::kUnknown,
                RetryRule::kNever, 0,
                "Back ends ended while they ran the call; none gets it again."},
};

}  // namespace

const ErrorAnswer& error_answer(wire::ErrorKind::type kind) {
  const auto* found = std::find_if(kAnswers.begin(), kAnswers.end(),
                                   [kind](const ErrorAnswer& row) { return row.kind == kind; });
  if (found != kAnswers.end()) return *found;
  return error_answer(Kind::kInternal);
}

}  // namespace sailgate::base
