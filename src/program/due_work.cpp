#include "program/due_work.hpp"

#include <algorithm>

namespace sailgate::program {

namespace {

using wire::CallPhase;

wire::AttemptEnded make_attempt_ended(const std::string& program, std::int32_t sequence,
                                      std::int64_t attempt, wire::Outcome::type outcome) {
  wire::AttemptEnded ended;
  ended.program = program;
  ended.sequence = sequence;
  ended.attempt = attempt;
  ended.outcome = outcome;
  return ended;
}

base::Millis overdue_at(const wire::CallRecord& call, const base::Knobs& knobs) {
  return call.started_at_unix_ms + call.deadline_in_ms + knobs.attempt_grace;
}

const wire::CallRecord* last_call(const wire::ProgramRecord& record) {
  return record.calls.empty() ? nullptr : &record.calls.back();
}

bool has_open_call(const wire::ProgramRecord& record) {
  const auto* call = last_call(record);
  return call != nullptr && call->phase != CallPhase::kDone;
}

void process_running_call(FamilyState& state, const wire::CallRecord& call, base::Millis now_unix,
                          const base::Knobs& knobs, DueActions& actions) {
  const auto& program = call.call.program;
  if (now_unix < overdue_at(call, knobs)) {
    if (now_unix < call.started_at_unix_ms + knobs.gateway_check_interval) return;
    actions.checks.push_back(
        {program, call.call.sequence, call.attempt, call.gateway, call.gateway_address});
    return;
  }
  if (call.call.target_kind == wire::TargetKind::kEngine) {
    actions.cancels.push_back({call.backend, call.attempt});
  }
  state.end(make_attempt_ended(program, call.call.sequence, call.attempt, wire::Outcome::kUnknown),
            now_unix);
}

void process_program(FamilyState& state, const std::string& program, base::Millis now_unix,
                     const base::Knobs& knobs, DueActions& actions) {
  const auto& record = *state.find(program);
  for (const auto& backend : record.evictions_owed) actions.evictions.push_back({program, backend});
  const auto* call = last_call(record);
  if (call != nullptr && call->phase == CallPhase::kRunning) {
    process_running_call(state, *call, now_unix, knobs, actions);
  }
  call = last_call(record);
  const bool needs_inquiry = call != nullptr && call->phase == CallPhase::kUnknown &&
                             call->call.target_kind == wire::TargetKind::kApplication;
  if (needs_inquiry) {
    actions.inquiries.push_back(
        {program, call->call.sequence, call->attempt, call->backend, call->call.request_key});
  }
  const bool idle = now_unix >= record.changed_at_unix_ms + knobs.idle_limit;
  if (!record.ended && idle && !has_open_call(record)) {
    wire::ProgramClosed closed;
    closed.program = program;
    closed.reason = "idle";
    state.close(closed, now_unix);
  }
}

base::Millis last_change(const FamilyState& state) {
  base::Millis latest = 0;
  for (const auto& [id, record] : state.programs()) {
    latest = std::max(latest, record.changed_at_unix_ms);
  }
  return latest;
}

base::Millis program_due_at(const wire::ProgramRecord& record, base::Millis now_unix,
                            const base::Knobs& knobs) {
  auto due = record.changed_at_unix_ms + knobs.idle_limit;
  if (!record.evictions_owed.empty()) due = std::min(due, now_unix + knobs.eviction_interval);
  const auto* call = last_call(record);
  if (call == nullptr) return due;
  if (call->phase == CallPhase::kRunning) {
    due = std::min(due, now_unix + knobs.gateway_check_interval);
    due = std::min(due, overdue_at(*call, knobs));
  }
  if (call->phase == CallPhase::kUnknown) due = std::min(due, now_unix + knobs.inquiry_interval);
  return due;
}

}  // namespace

DueActions process_due_work(FamilyState& state, base::Millis now_unix, const base::Knobs& knobs) {
  DueActions actions;
  std::vector<std::string> programs;
  for (const auto& [id, record] : state.programs()) programs.push_back(id);
  for (const auto& program : programs) process_program(state, program, now_unix, knobs, actions);
  const bool retained = now_unix < last_change(state) + knobs.retention;
  actions.remove_family = !state.empty() && state.finished() && !retained;
  const bool has_remote_queries =
      !actions.evictions.empty() || !actions.inquiries.empty() || !actions.checks.empty();
  if (has_remote_queries) state.reschedule();
  return actions;
}

base::Millis next_due_at(const FamilyState& state, base::Millis now_unix,
                         const base::Knobs& knobs) {
  if (state.finished()) return last_change(state) + knobs.retention;
  auto due = now_unix + knobs.idle_limit;
  for (const auto& [id, record] : state.programs()) {
    const bool settled = record.ended && record.evictions_owed.empty() && !has_open_call(record);
    if (!settled) due = std::min(due, program_due_at(record, now_unix, knobs));
  }
  return due;
}

void apply_inquiry_answer(FamilyState& state, const InquiryAnswer& answer, base::Millis now_unix) {
  if (answer.verdict == InquiryAnswer::Verdict::kUndetermined) return;
  const auto& inquiry = answer.inquiry;
  auto ended = make_attempt_ended(inquiry.program, inquiry.sequence, inquiry.attempt,
                                  wire::Outcome::kNotRun);
  if (answer.verdict == InquiryAnswer::Verdict::kRan) {
    const bool failed = answer.error != wire::ErrorKind::kNone;
    ended.outcome = failed ? wire::Outcome::kFailed : wire::Outcome::kSucceeded;
    ended.error = answer.error;
    ended.result = answer.result;
  }
  state.end(ended, now_unix);
}

void mark_attempt_lost(FamilyState& state, const GatewayCheck& check, base::Millis now_unix) {
  const auto* record = state.find(check.program);
  const auto* call = record == nullptr ? nullptr : last_call(*record);
  const bool running =
      call != nullptr && call->phase == CallPhase::kRunning && call->attempt == check.attempt;
  if (!running) return;
  state.end(
      make_attempt_ended(check.program, check.sequence, check.attempt, wire::Outcome::kUnknown),
      now_unix);
}

}  // namespace sailgate::program
