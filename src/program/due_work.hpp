/// @file Background maintenance of a program family: overdue attempts, unknown outcomes, cache
/// evictions, idle programs and removal. Any node may run it, also concurrently with others,
/// because the results are stored by conditional writes.
#pragma once

#include <string>
#include <vector>

#include "program/family_state.hpp"

namespace sailgate::program {

/// Request to an engine to evict the cached prefix of an ended program.
struct EvictionRequest {
  std::string program;
  std::string backend;
};

/// Request to a back end to stop an overdue attempt.
struct CancelRequest {
  std::string backend;
  std::int64_t attempt = 0;
};

/// Query to an application engine for the outcome of an attempt.
struct OutcomeInquiry {
  std::string program;
  std::int32_t sequence = 0;
  std::int64_t attempt = 0;
  std::string backend;
  std::string request_key;
};

/// Response of an application engine. After it has reported kNotRun, it rejects the attempt, so
/// that the verdict stays true.
struct InquiryAnswer {
  enum class Verdict { kUndetermined, kRan, kNotRun };
  OutcomeInquiry inquiry;
  Verdict verdict = Verdict::kUndetermined;
  wire::ErrorKind::type error = wire::ErrorKind::kNone;
  std::string result;
};

/// Query to a gateway process whether it still runs an attempt.
struct GatewayCheck {
  std::string program;
  std::int32_t sequence = 0;
  std::int64_t attempt = 0;
  std::int64_t gateway = 0;
  std::string gateway_address;
};

/// Remote calls to make after the family's changes have been stored.
struct DueActions {
  std::vector<EvictionRequest> evictions;
  std::vector<CancelRequest> cancels;
  std::vector<OutcomeInquiry> inquiries;
  std::vector<GatewayCheck> checks;
  bool remove_family = false;  ///< no work is left and the retention period is over
};

/// Applies the state changes that are due and returns the remote calls that follow from them.
DueActions process_due_work(FamilyState& state, base::Millis now_unix, const base::Knobs& knobs);
/// Time at which the family next needs maintenance.
base::Millis next_due_at(const FamilyState& state, base::Millis now_unix, const base::Knobs& knobs);

/// Ends the attempt as the response states. Does nothing while the verdict is kUndetermined.
void apply_inquiry_answer(FamilyState& state, const InquiryAnswer& answer, base::Millis now_unix);
/// Ends a running attempt with an unknown outcome, because its gateway is gone or reports that it
/// does not run the attempt. Does nothing if the attempt is no longer running.
void mark_attempt_lost(FamilyState& state, const GatewayCheck& check, base::Millis now_unix);

}  // namespace sailgate::program
