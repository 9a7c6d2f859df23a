#include "node/core/obligations.hpp"

#include "wire/union_values.hpp"

namespace sailgate::node {
namespace {

using wire::CallPhase;

wire::AttemptEnded ending_of(const wire::ProgramRecord& record, const wire::CallRecord& call,
                             wire::Outcome::type outcome) {
  wire::AttemptEnded ended;
  ended.program = record.opened.program;
  ended.sequence = call.call.sequence;
  ended.attempt = call.attempt;
  ended.outcome = outcome;
  return ended;
}

void propose_ending(SlotReplica& replica, const wire::AttemptEnded& ended) {
  replica.propose(wire::as_entry(ended));
}

}  // namespace

void Obligations::scan(SlotReplica& replica, base::Millis now, NodeActions& actions) {
  if (!replica.group().may_serve(now)) return;
  auto& all_times = slots_[replica.slot()];
  for (const auto& [id, record] : replica.state().programs()) {
    auto [found, fresh] = all_times.try_emplace(id);
    if (fresh) found->second.last_change_at = now;
    scan_program(replica, record, found->second, now, actions);
  }
}

void Obligations::scan_program(SlotReplica& replica, const wire::ProgramRecord& record,
                               Times& times, base::Millis now, NodeActions& actions) {
  const bool order_due =
      times.last_order_at < 0 || now - times.last_order_at >= knobs_.eviction_interval;
  if (!record.evictions_owed.empty() && order_due) {
    times.last_order_at = now;
    for (const auto& backend : record.evictions_owed) {
      actions.evictions.push_back({replica.slot(), record.opened.program, backend});
    }
  }
  if (!record.calls.empty()) {
    scan_attempt(replica, record, record.calls.back(), times, now, actions);
  }
  end_idle(replica, record, times, now);
}

void Obligations::scan_attempt(SlotReplica& replica, const wire::ProgramRecord& record,
                               const wire::CallRecord& call, Times& times, base::Millis now,
                               NodeActions& actions) {
  if (call.attempt != times.attempt || call.phase != times.phase) {
    times.attempt = call.attempt;
    times.phase = call.phase;
    times.attempt_seen_at = now;
    times.waiting_since = now;
    times.last_change_at = now;
  }
  if (call.phase == CallPhase::kRunning) {
    const auto age = now - times.attempt_seen_at;
    const bool overdue = age >= call.deadline_in_ms + knobs_.attempt_grace;
    if (!overdue && !membership_.is_dead(call.gateway)) return;
    propose_ending(replica, ending_of(record, call, wire::Outcome::kUnknown));
    if (call.call.target_kind == wire::TargetKind::kEngine) {
      actions.cancels.push_back({call.backend, call.attempt});
    }
  }
  if (call.phase == CallPhase::kUnknown) {
    if (now - times.waiting_since < knobs_.inquiry_interval) return;
    times.waiting_since = now;
    if (call.call.target_kind != wire::TargetKind::kApplication) return;
    actions.inquiries.push_back({replica.slot(), record.opened.program, call.call.sequence,
                                 call.attempt, call.backend, call.call.request_key});
  }
  // After an attempt the call waits for its caller, who may come back with the same key.
  if (call.phase == CallPhase::kAdmitted && call.attempts == 0) {
    if (now - times.waiting_since < knobs_.admitted_timeout) return;
    wire::CallWithdrawn withdrawn;
    withdrawn.program = record.opened.program;
    withdrawn.sequence = call.call.sequence;
    withdrawn.request_key = call.call.request_key;
    auto entry = wire::as_entry(std::move(withdrawn));
    replica.propose(entry);
  }
}

void Obligations::end_idle(SlotReplica& replica, const wire::ProgramRecord& record, Times& times,
                           base::Millis now) const {
  if (record.calls.size() != times.calls) {
    times.calls = record.calls.size();
    times.last_change_at = now;
  }
  if (record.ended || now - times.last_change_at < knobs_.idle_limit) return;
  const bool busy = !record.calls.empty() && record.calls.back().phase != CallPhase::kDone;
  if (busy) return;
  wire::ProgramClosed closed;
  closed.program = record.opened.program;
  closed.reason = "idle";
  auto entry = wire::as_entry(std::move(closed));
  replica.propose(entry);
}

void Obligations::on_evicted(SlotReplica& replica, const EvictionOrder& order) {
  const auto* record = replica.state().find(order.program);
  if (record == nullptr) return;
  // While an attempt runs there, the engine may cache the program again.
  const bool running = !record->calls.empty() &&
                       record->calls.back().phase == CallPhase::kRunning &&
                       record->calls.back().backend == order.backend;
  if (running) return;
  wire::EvictionAcknowledged acknowledged;
  acknowledged.program = order.program;
  acknowledged.backend = order.backend;
  auto entry = wire::as_entry(std::move(acknowledged));
  replica.propose(entry);
}

void Obligations::on_inquiry_answer(SlotReplica& replica, const InquiryAnswer& answer) {
  if (answer.verdict == InquiryAnswer::Verdict::kOpen) return;
  const auto& inquiry = answer.inquiry;
  wire::AttemptEnded ended;
  ended.program = inquiry.program;
  ended.sequence = inquiry.sequence;
  ended.attempt = inquiry.attempt;
  if (answer.verdict == InquiryAnswer::Verdict::kNotRun) {
    ended.outcome = wire::Outcome::kNotRun;
  } else {
    const bool failed = answer.error != wire::ErrorKind::kNone;
    ended.outcome = failed ? wire::Outcome::kFailed : wire::Outcome::kSucceeded;
    ended.error = answer.error;
    ended.result = answer.result;
  }
  propose_ending(replica, ended);
}

}  // namespace sailgate::node
