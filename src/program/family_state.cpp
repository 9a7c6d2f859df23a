#include "program/family_state.hpp"

#include <algorithm>
#include <stdexcept>

#include "base/digest.hpp"

namespace sailgate::program {
namespace {

using wire::CallPhase;
using Kind = wire::ErrorKind;

/// Separates the parent's id from the rest of a sub-program's id.
constexpr char kChildSeparator = '.';

std::string turn_content(const wire::CallRecord& call) {
  return std::to_string(call.call.sequence) + '\n' + call.call.request_key + '\n' +
         base::chain_digest(call.call.request_body, call.outcome.result);
}

wire::Turn to_turn(const wire::CallRecord& call) {
  wire::Turn turn;
  turn.sequence = call.call.sequence;
  turn.request_key = call.call.request_key;
  turn.request_body = call.call.request_body;
  turn.target_kind = call.call.target_kind;
  turn.result = call.outcome.result;
  return turn;
}

}  // namespace

std::string family_of(const std::string& program) {
  return program.substr(0, program.find(kChildSeparator));
}

wire::ErrorKind::type FamilyState::check_opening(const wire::ProgramOpened& opened) const {
  if (opened.parent.empty()) return Kind::kNone;
  const auto* parent = find(opened.parent);
  if (parent == nullptr || parent->opened.tenant != opened.tenant) return Kind::kUnknownProgram;
  if (parent->ended) return Kind::kProgramEnded;
  if (!rules_->reservation_fits(*parent, opened.budget_tokens)) return Kind::kBudgetExceeded;
  return Kind::kNone;
}

wire::ErrorKind::type FamilyState::check_admission(const wire::CallAdmitted& call) const {
  const auto* record = find(call.program);
  if (record == nullptr) return Kind::kUnknownProgram;
  const auto* known = find_call(*record, call.request_key);
  if (known != nullptr) {
    return same_request(known->call, call) ? Kind::kCallInProgress : Kind::kKeyReused;
  }
  if (record->ended) return Kind::kProgramEnded;
  if (!rules_->sequence_is_next(*record, call.sequence)) return Kind::kWrongSequence;
  if (call.sequence > record->opened.call_limit) return Kind::kCallLimitReached;
  if (!rules_->reservation_fits(*record, call.reserved_tokens)) return Kind::kBudgetExceeded;
  return Kind::kNone;
}

wire::ErrorKind::type FamilyState::open(const wire::ProgramOpened& opened, base::Millis now_unix) {
  const auto* existing = find(opened.program);
  if (existing != nullptr) return Kind::kNone;
  const auto error = check_opening(opened);
  if (error != Kind::kNone) return error;
  if (auto* parent = find_mutable(opened.parent)) {
    parent->reserved_tokens += opened.budget_tokens;
  }
  wire::ProgramRecord record;
  record.opened = opened;
  record.next_sequence = 1;
  record_change(record, now_unix);
  grew_ = true;
  programs_.emplace(opened.program, std::move(record));
  return Kind::kNone;
}

wire::ErrorKind::type FamilyState::admit(const wire::CallAdmitted& call, base::Millis now_unix) {
  const auto error = check_admission(call);
  if (error != Kind::kNone) return error;
  auto& record = programs_.at(call.program);
  wire::CallRecord entry;
  entry.call = call;
  entry.phase = CallPhase::kAdmitted;
  acquire_reservation(record, entry);
  grew_ = true;
  record.calls.push_back(std::move(entry));
  text_changes_.push_back({call.program, call.sequence, false, false, call.request_body});
  record_change(record, now_unix);
  return Kind::kNone;
}

wire::ErrorKind::type FamilyState::start(const wire::AttemptStarted& started,
                                         base::Millis now_unix) {
  auto* record = find_mutable(started.program);
  if (record == nullptr || record->calls.empty()) return Kind::kUnknownCall;
  if (record->ended) return Kind::kProgramEnded;
  auto& call = record->calls.back();
  if (call.call.sequence != started.sequence) return Kind::kWrongSequence;
  if (call.call.request_key != started.request_key) return Kind::kWrongSequence;
  if (!rules_->attempt_permitted(call)) return Kind::kCallInProgress;
  if (!call.reservation_held) {
    // The full reservation was charged for an earlier attempt; this one needs a new reservation.
    if (!rules_->reservation_fits(*record, call.call.reserved_tokens)) {
      return Kind::kBudgetExceeded;
    }
    acquire_reservation(*record, call);
  }
  call.phase = CallPhase::kRunning;
  call.attempt = started.attempt;
  call.attempts += 1;
  call.backend = started.backend;
  call.gateway = started.gateway;
  call.gateway_address = started.gateway_address;
  call.nonce = started.nonce;
  call.deadline_in_ms = started.deadline_in_ms;
  call.started_at_unix_ms = now_unix;
  ++attempts_started_;
  record_change(*record, now_unix);
  auto& used = record->backends_used;
  const bool engine = call.call.target_kind == wire::TargetKind::kEngine;
  if (engine && std::find(used.begin(), used.end(), started.backend) == used.end()) {
    used.push_back(started.backend);
  }
  return Kind::kNone;
}

wire::ErrorKind::type FamilyState::end(const wire::AttemptEnded& ended, base::Millis now_unix) {
  auto* record = find_mutable(ended.program);
  if (record == nullptr || record->calls.empty()) return Kind::kUnknownCall;
  auto& call = record->calls.back();
  if (call.call.sequence != ended.sequence) return Kind::kUnknownCall;
  if (!rules_->ending_matches(call, ended)) return Kind::kUnknownCall;
  record_change(*record, now_unix);
  if (record->ended) restore_owed_eviction(*record, call.backend);
  switch (ended.outcome) {
    case wire::Outcome::kNotRun:
      if (call.attempts > 1) {
        // An earlier attempt may have run, so the call is kept for another attempt.
        call.phase = CallPhase::kAdmitted;
      } else {
        discard_call(*record);
      }
      break;
    case wire::Outcome::kUnknown:
      if (rules_->may_attempt_again(call)) {
        // The token usage of the lost attempt is unknown, so its full reservation is charged.
        release_reservation(*record, call);
        record->settled_tokens += call.call.reserved_tokens;
        call.phase = CallPhase::kAdmitted;
      } else {
        call.phase = CallPhase::kUnknown;
      }
      break;
    case wire::Outcome::kSucceeded:
    case wire::Outcome::kFailed:
      finish_call(*record, call, ended);
      break;
  }
  return Kind::kNone;
}

void FamilyState::acquire_reservation(wire::ProgramRecord& record, wire::CallRecord& call) {
  if (call.reservation_held) return;
  call.reservation_held = true;
  record.reserved_tokens += call.call.reserved_tokens;
}

void FamilyState::release_reservation(wire::ProgramRecord& record, wire::CallRecord& call) {
  if (!call.reservation_held) return;
  call.reservation_held = false;
  record.reserved_tokens -= call.call.reserved_tokens;
}

/// An attempt that ends after the program was closed may have cached the prefix again after the
/// eviction was acknowledged, so that the engine must evict it once more.
void FamilyState::restore_owed_eviction(wire::ProgramRecord& record, const std::string& backend) {
  auto& owed = record.evictions_owed;
  const bool already_owed = std::find(owed.begin(), owed.end(), backend) != owed.end();
  const auto& used = record.backends_used;
  const bool engine = std::find(used.begin(), used.end(), backend) != used.end();
  if (engine && !already_owed && rules_->eviction_owed(record, backend)) owed.push_back(backend);
}

/// Undoes the admission of a call that provably never ran on a back end.
void FamilyState::discard_call(wire::ProgramRecord& record) {
  auto& call = record.calls.back();
  release_reservation(record, call);
  text_changes_.push_back(
      {record.opened.program, call.call.sequence, false, true, std::move(call.call.request_body)});
  record.calls.pop_back();
}

void FamilyState::finish_call(wire::ProgramRecord& record, wire::CallRecord& call,
                              const wire::AttemptEnded& ended) {
  call.phase = CallPhase::kDone;
  call.outcome.outcome = ended.outcome;
  call.outcome.error = ended.error;
  call.outcome.used_tokens = std::min(ended.used_tokens, call.call.reserved_tokens);
  call.outcome.sequence = ended.sequence;
  call.outcome.result = ended.result;
  text_changes_.push_back({ended.program, ended.sequence, true, false, ended.result});
  release_reservation(record, call);
  record.settled_tokens += call.outcome.used_tokens;
  record.next_sequence += 1;
  record.history_digest = base::chain_digest(record.history_digest, turn_content(call));
  if (!record.ended) return;
  // The parent was charged the full reservation when the program was closed; refund the rest.
  if (auto* parent = find_mutable(record.opened.parent)) {
    parent->settled_tokens -= call.call.reserved_tokens - call.outcome.used_tokens;
  }
}

wire::ErrorKind::type FamilyState::close(const wire::ProgramClosed& closed, base::Millis now_unix) {
  auto* record = find_mutable(closed.program);
  if (record == nullptr) return Kind::kUnknownProgram;
  // Ids of descendants start with the parent's id and a dot, so they are contiguous in the map.
  const std::string prefix = closed.program + kChildSeparator;
  std::vector<wire::ProgramRecord*> descendants;
  for (auto it = programs_.lower_bound(prefix);
       it != programs_.end() && it->first.compare(0, prefix.size(), prefix) == 0; ++it) {
    descendants.push_back(&it->second);
  }
  // Close the deepest programs first, so that each returns its unused budget before its parent
  // closes.
  for (auto it = descendants.rbegin(); it != descendants.rend(); ++it)
    close_program(**it, now_unix);
  close_program(*record, now_unix);
  return Kind::kNone;
}

void FamilyState::close_program(wire::ProgramRecord& record, base::Millis now_unix) {
  if (record.ended) return;
  record_change(record, now_unix);
  record.ended = true;
  for (const auto& backend : record.backends_used) {
    if (rules_->eviction_owed(record, backend)) record.evictions_owed.push_back(backend);
  }
  return_unused_budget(record);
}

void FamilyState::return_unused_budget(const wire::ProgramRecord& record) {
  auto* parent = find_mutable(record.opened.parent);
  if (parent == nullptr) return;
  // Tokens reserved by an unfinished call remain charged, because the call may still use them.
  const std::int64_t charged = record.settled_tokens + record.reserved_tokens;
  parent->reserved_tokens -= record.opened.budget_tokens;
  parent->settled_tokens += charged;
}

wire::ErrorKind::type FamilyState::pause(const wire::ToolPauseReported& pause,
                                         base::Millis now_unix) {
  auto* record = find_mutable(pause.program);
  if (record == nullptr) return Kind::kUnknownProgram;
  if (record->ended) return Kind::kProgramEnded;
  record_change(*record, now_unix + pause.expected_ms);
  return Kind::kNone;
}

wire::ErrorKind::type FamilyState::acknowledge_eviction(const wire::EvictionAcknowledged& evicted) {
  auto* record = find_mutable(evicted.program);
  if (record == nullptr) return Kind::kUnknownProgram;
  // A running attempt on this engine may cache the prefix again, so the eviction does not count
  // yet.
  const bool running = !record->calls.empty() &&
                       record->calls.back().phase == CallPhase::kRunning &&
                       record->calls.back().backend == evicted.backend;
  if (running) return Kind::kCallInProgress;
  auto& owed = record->evictions_owed;
  const auto kept = std::remove(owed.begin(), owed.end(), evicted.backend);
  if (kept == owed.end()) return Kind::kNone;
  owed.erase(kept, owed.end());
  changed_ = true;
  return Kind::kNone;
}

void FamilyState::record_change(wire::ProgramRecord& record, base::Millis now_unix) {
  changed_ = true;
  record.changed_at_unix_ms = std::max(record.changed_at_unix_ms, now_unix);
}

bool FamilyState::finished() const {
  return std::all_of(programs_.begin(), programs_.end(), [](const auto& entry) {
    const auto& record = entry.second;
    const bool call_open =
        !record.calls.empty() && (record.calls.back().phase == CallPhase::kRunning ||
                                  record.calls.back().phase == CallPhase::kUnknown);
    return record.ended && !call_open && record.evictions_owed.empty();
  });
}

void FamilyState::mark_stored() {
  changed_ = false;
  grew_ = false;
  text_changes_.clear();
}

void FamilyState::restore(wire::ProgramRecord record) {
  auto id = record.opened.program;
  programs_.insert_or_assign(std::move(id), std::move(record));
}

const wire::ProgramRecord* FamilyState::find(const std::string& program) const {
  const auto found = programs_.find(program);
  return found == programs_.end() ? nullptr : &found->second;
}

wire::ProgramRecord* FamilyState::find_mutable(const std::string& program) {
  const auto found = programs_.find(program);
  return found == programs_.end() ? nullptr : &found->second;
}

bool FamilyState::same_request(const wire::CallAdmitted& known,
                               const wire::CallAdmitted& repeated) {
  return known.request_digest == repeated.request_digest && known.sequence == repeated.sequence;
}

const wire::CallRecord* FamilyState::find_call(const wire::ProgramRecord& record,
                                               const std::string& request_key) {
  const auto found = std::find_if(
      record.calls.begin(), record.calls.end(),
      [&](const wire::CallRecord& call) { return call.call.request_key == request_key; });
  return found == record.calls.end() ? nullptr : &*found;
}

std::vector<wire::Turn> FamilyState::verified_history(const wire::ProgramRecord& record) {
  std::vector<wire::Turn> history;
  std::string digest;
  for (const auto& call : record.calls) {
    if (call.phase != CallPhase::kDone) continue;
    digest = base::chain_digest(digest, turn_content(call));
    history.push_back(to_turn(call));
  }
  if (digest != record.history_digest) {
    throw std::runtime_error("history of program " + record.opened.program +
                             " does not match its digest chain");
  }
  return history;
}

}  // namespace sailgate::program
