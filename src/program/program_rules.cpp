#include "program/program_rules.hpp"

namespace sailgate::program {

bool ProgramRules::sequence_is_next(const wire::ProgramRecord& record,
                                    std::int32_t sequence) const {
  const bool previous_done =
      record.calls.empty() || record.calls.back().phase == wire::CallPhase::kDone;
  return previous_done && sequence == record.next_sequence;
}

bool ProgramRules::reservation_fits(const wire::ProgramRecord& record, std::int64_t tokens) const {
  const std::int64_t committed = record.settled_tokens + record.reserved_tokens;
  return tokens >= 0 && tokens <= record.opened.budget_tokens - committed;
}

bool ProgramRules::may_attempt_again(const wire::CallRecord& call) const {
  return call.call.repeatable;
}

bool ProgramRules::attempt_permitted(const wire::CallRecord& call) const {
  const bool waiting = call.phase == wire::CallPhase::kAdmitted;
  return waiting && (call.attempts == 0 || may_attempt_again(call));
}

bool ProgramRules::ending_matches(const wire::CallRecord& call,
                                  const wire::AttemptEnded& ended) const {
  const bool open =
      call.phase == wire::CallPhase::kRunning || call.phase == wire::CallPhase::kUnknown;
  return open && call.attempt == ended.attempt;
}

bool ProgramRules::eviction_owed(const wire::ProgramRecord& record,
                                 const std::string& backend) const {
  return record.ended && !backend.empty();
}

}  // namespace sailgate::program
