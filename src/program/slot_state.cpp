#include "program/slot_state.hpp"

#include <algorithm>
#include <stdexcept>

#include "base/digest.hpp"
#include "configuration/bundle_check.hpp"
#include "wire/codec.hpp"

namespace sailgate::program {
namespace {

using wire::CallPhase;
using Kind = wire::ErrorKind;

/// Stands between a parent's id and the rest of its child's id.
constexpr char kChildSeparator = '.';
/// Fixed cost counted for a program or call besides its texts.
constexpr std::size_t kRecordOverhead = 256;

std::size_t text_bytes(const wire::CallRecord& call) {
  return kRecordOverhead + call.call.request_body.size() + call.outcome.result.size();
}

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

wire::ErrorKind::type SlotState::apply(const wire::JournalEntry& entry) {
  if (entry.program_opened) return apply_opened(*entry.program_opened);
  if (entry.call_admitted) return apply_admitted(*entry.call_admitted);
  if (entry.attempt_started) return apply_started(*entry.attempt_started);
  if (entry.attempt_ended) return apply_ended(*entry.attempt_ended);
  if (entry.program_closed) return apply_closed(*entry.program_closed);
  if (entry.eviction_acknowledged) return apply_evicted(*entry.eviction_acknowledged);
  if (entry.program_forgotten) return apply_forgotten(*entry.program_forgotten);
  if (entry.call_withdrawn) return apply_withdrawn(*entry.call_withdrawn);
  if (entry.configuration_accepted) return apply_configuration(*entry.configuration_accepted);
  if (entry.row_intended) possible_rows_.push_back(entry.row_intended->row);
  if (entry.row_recorded) possible_rows_.assign(1, entry.row_recorded->row);
  return Kind::kNone;
}

wire::ErrorKind::type SlotState::check_opening(const wire::ProgramOpened& opened) const {
  if (state_bytes_ >= state_limit_) return Kind::kStorageFull;
  if (opened.parent.empty()) return Kind::kNone;
  const auto* parent = find(opened.parent);
  if (parent == nullptr || parent->opened.tenant != opened.tenant) return Kind::kUnknownProgram;
  if (parent->ended) return Kind::kProgramEnded;
  if (!rules_->reservation_fits(*parent, opened.budget_tokens)) return Kind::kBudgetExceeded;
  return Kind::kNone;
}

wire::ErrorKind::type SlotState::check_admission(const wire::CallAdmitted& call) const {
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

wire::ErrorKind::type SlotState::apply_opened(const wire::ProgramOpened& opened) {
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
  state_bytes_ += kRecordOverhead;
  programs_.emplace(opened.program, std::move(record));
  return Kind::kNone;
}

wire::ErrorKind::type SlotState::apply_admitted(const wire::CallAdmitted& call) {
  const auto error = check_admission(call);
  if (error != Kind::kNone) return error;
  auto& record = programs_.at(call.program);
  wire::CallRecord entry;
  entry.call = call;
  entry.phase = CallPhase::kAdmitted;
  hold_reservation(record, entry);
  state_bytes_ += text_bytes(entry);
  record.calls.push_back(std::move(entry));
  return Kind::kNone;
}

wire::ErrorKind::type SlotState::apply_started(const wire::AttemptStarted& started) {
  auto* record = find_mutable(started.program);
  if (record == nullptr || record->calls.empty()) return Kind::kUnknownCall;
  if (record->ended) return Kind::kProgramEnded;
  auto& call = record->calls.back();
  if (call.call.sequence != started.sequence) return Kind::kWrongSequence;
  if (call.call.request_key != started.request_key) return Kind::kWrongSequence;
  if (!rules_->attempt_permitted(call)) return Kind::kCallInProgress;
  if (!call.reservation_held) {
    // An earlier attempt was charged in full; this one needs tokens of its own.
    if (!rules_->reservation_fits(*record, call.call.reserved_tokens)) {
      return Kind::kBudgetExceeded;
    }
    hold_reservation(*record, call);
  }
  call.phase = CallPhase::kRunning;
  call.attempt = started.attempt;
  call.attempts += 1;
  call.backend = started.backend;
  call.gateway = started.gateway;
  call.nonce = started.nonce;
  call.deadline_in_ms = started.deadline_in_ms;
  auto& used = record->backends_used;
  const bool engine = call.call.target_kind == wire::TargetKind::kEngine;
  if (engine && std::find(used.begin(), used.end(), started.backend) == used.end()) {
    used.push_back(started.backend);
  }
  return Kind::kNone;
}

wire::ErrorKind::type SlotState::apply_ended(const wire::AttemptEnded& ended) {
  auto* record = find_mutable(ended.program);
  if (record == nullptr || record->calls.empty()) return Kind::kUnknownCall;
  auto& call = record->calls.back();
  if (call.call.sequence != ended.sequence) return Kind::kUnknownCall;
  if (!rules_->ending_matches(call, ended)) return Kind::kUnknownCall;
  if (record->ended) owe_eviction_again(*record, call.backend);
  switch (ended.outcome) {
    case wire::Outcome::kNotRun:
      if (call.attempts > 1) {
        // An earlier attempt may have run: the call stays, for another attempt.
        call.phase = CallPhase::kAdmitted;
      } else {
        release_call(*record);
      }
      break;
    case wire::Outcome::kUnknown:
      if (rules_->may_attempt_again(call)) {
        // What the lost attempt used is not known: its whole reservation counts as used.
        drop_reservation(*record, call);
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

void SlotState::hold_reservation(wire::ProgramRecord& record, wire::CallRecord& call) {
  if (call.reservation_held) return;
  call.reservation_held = true;
  record.reserved_tokens += call.call.reserved_tokens;
}

void SlotState::drop_reservation(wire::ProgramRecord& record, wire::CallRecord& call) {
  if (!call.reservation_held) return;
  call.reservation_held = false;
  record.reserved_tokens -= call.call.reserved_tokens;
}

wire::ErrorKind::type SlotState::apply_withdrawn(const wire::CallWithdrawn& withdrawn) {
  auto* record = find_mutable(withdrawn.program);
  if (record == nullptr || record->calls.empty()) return Kind::kUnknownCall;
  const auto& call = record->calls.back();
  const bool same =
      call.call.sequence == withdrawn.sequence && call.call.request_key == withdrawn.request_key;
  if (!same) return Kind::kUnknownCall;
  if (call.phase != CallPhase::kAdmitted) return Kind::kCallInProgress;
  release_call(*record);
  return Kind::kNone;
}

/// An engine may have cached the program again after its eviction: it owes another one.
void SlotState::owe_eviction_again(wire::ProgramRecord& record, const std::string& backend) {
  auto& owed = record.evictions_owed;
  const bool owes = std::find(owed.begin(), owed.end(), backend) != owed.end();
  const auto& used = record.backends_used;
  const bool engine = std::find(used.begin(), used.end(), backend) != used.end();
  if (engine && !owes && rules_->eviction_owed(record, backend)) owed.push_back(backend);
}

/// Of two bundles that build on the same generation the first in the journal takes effect.
wire::ErrorKind::type SlotState::apply_configuration(const wire::ConfigurationAccepted& accepted) {
  const auto& bundle = accepted.signed_bundle.bundle;
  if (bundle.builds_on != configuration_.generation) return Kind::kBundleConflict;
  if (!configuration::problem_together(bundle, configuration_).empty()) {
    return Kind::kBundleRefused;
  }
  configuration_ = configuration::with_bundle(configuration_, bundle);
  return Kind::kNone;
}

/// The call provably never reached a back end: it is as if it had not been admitted.
void SlotState::release_call(wire::ProgramRecord& record) {
  auto& call = record.calls.back();
  drop_reservation(record, call);
  state_bytes_ -= text_bytes(call);
  record.calls.pop_back();
}

void SlotState::finish_call(wire::ProgramRecord& record, wire::CallRecord& call,
                            const wire::AttemptEnded& ended) {
  call.phase = CallPhase::kDone;
  call.outcome.outcome = ended.outcome;
  call.outcome.error = ended.error;
  call.outcome.used_tokens = std::min(ended.used_tokens, call.call.reserved_tokens);
  call.outcome.sequence = ended.sequence;
  call.outcome.result = ended.result;
  state_bytes_ += ended.result.size();
  drop_reservation(record, call);
  record.settled_tokens += call.outcome.used_tokens;
  record.next_sequence += 1;
  record.history_digest = base::chain_digest(record.history_digest, turn_content(call));
  if (!record.ended) return;
  // The parent was charged the whole reservation when the program closed.
  if (auto* parent = find_mutable(record.opened.parent)) {
    parent->settled_tokens -= call.call.reserved_tokens - call.outcome.used_tokens;
  }
}

wire::ErrorKind::type SlotState::apply_closed(const wire::ProgramClosed& closed) {
  auto* record = find_mutable(closed.program);
  if (record == nullptr) return Kind::kUnknownProgram;
  // Descendants' ids begin with the parent's id and a dot, so they follow it in the map.
  const std::string prefix = closed.program + kChildSeparator;
  std::vector<wire::ProgramRecord*> descendants;
  for (auto it = programs_.lower_bound(prefix);
       it != programs_.end() && it->first.compare(0, prefix.size(), prefix) == 0; ++it) {
    descendants.push_back(&it->second);
  }
  // Deepest first, so that each one's unused budget reaches its parent before that one closes.
  for (auto it = descendants.rbegin(); it != descendants.rend(); ++it) close_program(**it);
  close_program(*record);
  return Kind::kNone;
}

void SlotState::close_program(wire::ProgramRecord& record) {
  if (record.ended) return;
  record.ended = true;
  for (const auto& backend : record.backends_used) {
    if (rules_->eviction_owed(record, backend)) record.evictions_owed.push_back(backend);
  }
  return_unused_budget(record);
}

wire::ErrorKind::type SlotState::apply_forgotten(const wire::ProgramForgotten& forgotten) {
  const auto found = programs_.find(forgotten.program);
  if (found == programs_.end()) return Kind::kUnknownProgram;
  const auto& record = found->second;
  const bool call_open = !record.calls.empty() && record.calls.back().phase != CallPhase::kDone;
  if (!record.ended || call_open || !record.evictions_owed.empty()) return Kind::kCallInProgress;
  state_bytes_ -= kRecordOverhead;
  for (const auto& call : record.calls) state_bytes_ -= text_bytes(call);
  programs_.erase(found);
  return Kind::kNone;
}

void SlotState::return_unused_budget(const wire::ProgramRecord& record) {
  auto* parent = find_mutable(record.opened.parent);
  if (parent == nullptr) return;
  // Tokens still reserved by a running call stay charged: they may yet be used.
  const std::int64_t charged = record.settled_tokens + record.reserved_tokens;
  parent->reserved_tokens -= record.opened.budget_tokens;
  parent->settled_tokens += charged;
}

wire::ErrorKind::type SlotState::apply_evicted(const wire::EvictionAcknowledged& evicted) {
  auto* record = find_mutable(evicted.program);
  if (record == nullptr) return Kind::kUnknownProgram;
  auto& owed = record->evictions_owed;
  owed.erase(std::remove(owed.begin(), owed.end(), evicted.backend), owed.end());
  return Kind::kNone;
}

std::string SlotState::snapshot() const {
  wire::SlotSnapshot snapshot;
  snapshot.programs.reserve(programs_.size());
  for (const auto& [id, record] : programs_) snapshot.programs.push_back(record);
  snapshot.possible_rows = possible_rows_;
  snapshot.configuration = configuration_;
  return wire::encode(snapshot);
}

void SlotState::restore(const std::string& bytes) {
  programs_.clear();
  possible_rows_.clear();
  configuration_ = {};
  state_bytes_ = 0;
  if (bytes.empty()) return;
  auto snapshot = wire::decode<wire::SlotSnapshot>(bytes);
  possible_rows_ = std::move(snapshot.possible_rows);
  configuration_ = std::move(snapshot.configuration);
  for (auto& record : snapshot.programs) {
    state_bytes_ += kRecordOverhead;
    for (const auto& call : record.calls) state_bytes_ += text_bytes(call);
    auto id = record.opened.program;
    programs_.emplace(std::move(id), std::move(record));
  }
}

const wire::ProgramRecord* SlotState::find(const std::string& program) const {
  const auto found = programs_.find(program);
  return found == programs_.end() ? nullptr : &found->second;
}

wire::ProgramRecord* SlotState::find_mutable(const std::string& program) {
  const auto found = programs_.find(program);
  return found == programs_.end() ? nullptr : &found->second;
}

bool SlotState::same_request(const wire::CallAdmitted& known, const wire::CallAdmitted& repeated) {
  return known.request_digest == repeated.request_digest && known.sequence == repeated.sequence;
}

const wire::CallRecord* SlotState::find_call(const wire::ProgramRecord& record,
                                             const std::string& request_key) {
  const auto found = std::find_if(
      record.calls.begin(), record.calls.end(),
      [&](const wire::CallRecord& call) { return call.call.request_key == request_key; });
  return found == record.calls.end() ? nullptr : &*found;
}

std::vector<wire::Turn> SlotState::verified_history(const wire::ProgramRecord& record) {
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
