/// @file What a family needs though no caller asks: overdue attempts, unknown outcomes, evictions,
/// idle programs, removal. Any node may do it; conditional writes keep it right.
#pragma once

#include <string>
#include <vector>

#include "program/family_state.hpp"

namespace sailgate::program {

/// Ask an engine to drop what it caches of an ended program.
struct EvictionRequest {
  std::string program;
  std::string backend;
};

/// Stop an attempt that was given up.
struct CancelRequest {
  std::string backend;
  std::int64_t attempt = 0;
};

/// Ask an application engine what became of an attempt.
struct OutcomeInquiry {
  std::string program;
  std::int32_t sequence = 0;
  std::int64_t attempt = 0;
  std::string backend;
  std::string request_key;
};

/// Answer of an application engine. Once it says kNotRun, it refuses the attempt from then on.
struct InquiryAnswer {
  enum class Verdict { kUndetermined, kRan, kNotRun };
  OutcomeInquiry inquiry;
  Verdict verdict = Verdict::kUndetermined;
  wire::ErrorKind::type error = wire::ErrorKind::kNone;
  std::string result;
};

/// Ask a process whether it still runs an attempt.
struct GatewayCheck {
  std::string program;
  std::int32_t sequence = 0;
  std::int64_t attempt = 0;
  std::int64_t gateway = 0;
  std::string gateway_address;
};

/// Calls to be made once the family's changes are stored.
struct DueActions {
  std::vector<EvictionRequest> evictions;
  std::vector<CancelRequest> cancels;
  std::vector<OutcomeInquiry> inquiries;
  std::vector<GatewayCheck> checks;
  bool remove_family = false;  ///< nothing is owed any more and nobody may come back
};

/// Does what is due now and collects the calls it needs.
DueActions process_due_work(FamilyState& state, base::Millis now_unix, const base::Knobs& knobs);
/// When somebody must look at the family again.
base::Millis next_due_at(const FamilyState& state, base::Millis now_unix, const base::Knobs& knobs);

/// Ending that an inquiry's answer proves; nothing while it is open.
void apply_inquiry_answer(FamilyState& state, const InquiryAnswer& answer, base::Millis now_unix);
/// The process that ran an attempt is gone, or says that it does not run it.
void mark_attempt_lost(FamilyState& state, const GatewayCheck& check, base::Millis now_unix);

}  // namespace sailgate::program
