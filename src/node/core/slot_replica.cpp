#include "node/core/slot_replica.hpp"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "configuration/bundle_check.hpp"
#include "wire/union_values.hpp"

namespace sailgate::node {
namespace {

using Kind = wire::ErrorKind;
using wire::CallPhase;

/// Fences order by epoch, then by view.
constexpr std::int64_t kViewsPerEpoch = std::int64_t{1} << 40U;

}  // namespace

NodePolicies NodePolicies::standard() {
  return {std::make_shared<program::ProgramRules>(),
          std::make_shared<replication::ReplicationRules>(),
          std::make_shared<scheduling::BackendChooser>(),
          std::make_shared<configuration::LeaseRules>(),
          {}};
}

SlotReplica::SlotReplica(Context context, base::Millis now)
    : context_(std::move(context)),
      random_(context_.seed),
      state_(context_.policies.program_rules, context_.knobs.slot_state_limit),
      group_({context_.slot, context_.self.id, context_.knobs, context_.policies.replication_rules,
              *this, random_.below(UINT64_MAX)},
             now),
      leases_(context_.knobs) {}

// ---------------------------------------------------------------- requests

void SlotReplica::submit(Ticket ticket, const wire::ProgramRequest& request, base::Millis now,
                         NodeActions& actions) {
  const auto leader = group_.leader();
  const bool leads = group_.is_leader();
  // NOTE: an ending does not need the lease: it takes effect only when committed.
  const bool ready = request.__isset.complete_attempt ? leads : group_.may_serve(now);
  if (!ready) {
    const bool elsewhere = !leads && leader != context_.self.id;
    actions.completed.push_back({ticket, redirect_reply(elsewhere ? leader : 0)});
    return;
  }
  try {
    dispatch(ticket, request, now, actions);
  } catch (const std::runtime_error&) {
    // The program's history failed its check and must not be served.
    actions.completed.push_back({ticket, refusal_reply(Kind::kInternal)});
  }
}

void SlotReplica::dispatch(Ticket ticket, const wire::ProgramRequest& request, base::Millis now,
                           NodeActions& actions) {
  if (request.__isset.roll_configuration) return roll_configuration(ticket, request, actions);
  if (request.__isset.renew_configuration_lease) {
    return renew_lease(ticket, request.renew_configuration_lease, now, actions);
  }
  if (request.__isset.open_program) return open_program(ticket, request, actions);
  if (request.__isset.admit_call) return admit_call(ticket, request, actions);
  if (request.__isset.complete_attempt) return complete_attempt(ticket, request, actions);
  if (request.__isset.look_up_call) return look_up_call(ticket, request.look_up_call, actions);
  if (request.__isset.read_program) return read_program(ticket, request.read_program, actions);
  if (request.__isset.report_tool_pause) return report_tool_pause(ticket, request, actions);
  if (request.__isset.end_program) return end_program(ticket, request, actions);
  actions.completed.push_back({ticket, refusal_reply(Kind::kMalformedRequest)});
}

void SlotReplica::open_program(Ticket ticket, const wire::ProgramRequest& request,
                               NodeActions& actions) {
  const auto& opened = request.open_program.program;
  if (state_.find(opened.program) != nullptr) {
    actions.completed.push_back({ticket, accepted_reply(opened.program)});
    return;
  }
  if (!holds_enough_copies()) {
    actions.completed.push_back({ticket, refusal_reply(Kind::kSlotUnavailable)});
    return;
  }
  const auto error = state_.check_opening(opened);
  if (error != Kind::kNone) {
    actions.completed.push_back({ticket, refusal_reply(error)});
    return;
  }
  auto entry = wire::as_entry(opened);
  wait_for(std::move(entry), {group_.view(), ticket, request, 0}, actions);
}

void SlotReplica::admit_call(Ticket ticket, const wire::ProgramRequest& request,
                             NodeActions& actions) {
  const auto& call = request.admit_call.call;
  const auto* record = find_owned(call.program, request.admit_call.tenant);
  if (record == nullptr) {
    actions.completed.push_back({ticket, refusal_reply(Kind::kUnknownProgram)});
    return;
  }
  const auto* known = program::SlotState::find_call(*record, call.request_key);
  if (known != nullptr) {
    answer_known_call(ticket, request, *record, *known, actions);
    return;
  }
  const auto error = state_.check_admission(call);
  if (error != Kind::kNone) {
    actions.completed.push_back({ticket, refusal_reply(error)});
    return;
  }
  start_attempt(ticket, request, *record, nullptr, actions);
}

void SlotReplica::answer_known_call(Ticket ticket, const wire::ProgramRequest& request,
                                    const wire::ProgramRecord& record, const wire::CallRecord& call,
                                    NodeActions& actions) {
  if (!program::SlotState::same_request(call.call, request.admit_call.call)) {
    actions.completed.push_back({ticket, refusal_reply(Kind::kKeyReused)});
    return;
  }
  switch (call.phase) {
    case CallPhase::kDone:
      actions.completed.push_back({ticket, outcome_reply(call.outcome)});
      return;
    case CallPhase::kUnknown:
      actions.completed.push_back({ticket, refusal_reply(Kind::kOutcomeUnknown)});
      return;
    case CallPhase::kRunning: {
      // The same gateway asking again did not get its grant; any other one joins a running call.
      const auto& admit = request.admit_call;
      const bool same_asker = call.gateway == admit.gateway && call.nonce == admit.nonce;
      actions.completed.push_back(
          {ticket, same_asker ? grant_reply(record, call) : refusal_reply(Kind::kCallInProgress)});
      return;
    }
    case CallPhase::kAdmitted:
      if (record.ended) {
        actions.completed.push_back({ticket, call_refusal(Kind::kProgramEnded, &call)});
        return;
      }
      start_attempt(ticket, request, record, &call, actions);
      return;
  }
}

void SlotReplica::start_attempt(Ticket ticket, const wire::ProgramRequest& request,
                                const wire::ProgramRecord& record,
                                const wire::CallRecord* admitted_call, NodeActions& actions) {
  const auto& asked = request.admit_call;
  scheduling::CallContext call_context;
  call_context.target_kind = asked.call.target_kind;
  call_context.target = asked.call.target;
  call_context.used_before = record.backends_used;
  call_context.zone = context_.self.zone;
  const auto choice = context_.policies.chooser->choose(call_context, context_.backends);
  if (choice.error != Kind::kNone) {
    actions.completed.push_back({ticket, call_refusal(choice.error, admitted_call)});
    return;
  }
  if (admitted_call == nullptr) {
    auto admitted = wire::as_entry(asked.call);
    if (!group_.propose(std::move(admitted))) {
      actions.completed.push_back({ticket, redirect_reply(0)});
      return;
    }
  }
  wire::AttemptStarted started;
  started.program = asked.call.program;
  started.sequence = asked.call.sequence;
  started.request_key = asked.call.request_key;
  started.attempt = random_.identifier();
  started.backend = choice.backend;
  started.gateway = asked.gateway;
  started.nonce = asked.nonce;
  started.deadline_in_ms = asked.deadline_in_ms;
  const auto attempt = started.attempt;
  wait_for(wire::as_entry(std::move(started)), {group_.view(), ticket, request, attempt}, actions);
}

void SlotReplica::complete_attempt(Ticket ticket, const wire::ProgramRequest& request,
                                   NodeActions& actions) {
  auto entry = wire::as_entry(request.complete_attempt.ended);
  wait_for(std::move(entry), {group_.view(), ticket, request, 0}, actions);
}

void SlotReplica::look_up_call(Ticket ticket, const wire::LookUpCall& request,
                               NodeActions& actions) const {
  const auto* record = find_owned(request.program, request.tenant);
  if (record == nullptr) {
    actions.completed.push_back({ticket, refusal_reply(Kind::kUnknownProgram)});
    return;
  }
  const auto* call = program::SlotState::find_call(*record, request.request_key);
  if (call == nullptr) {
    actions.completed.push_back({ticket, refusal_reply(Kind::kUnknownCall)});
    return;
  }
  switch (call->phase) {
    case CallPhase::kDone:
      actions.completed.push_back({ticket, outcome_reply(call->outcome)});
      return;
    case CallPhase::kUnknown:
      actions.completed.push_back({ticket, refusal_reply(Kind::kOutcomeUnknown)});
      return;
    case CallPhase::kRunning:
    case CallPhase::kAdmitted:
      actions.completed.push_back({ticket, refusal_reply(Kind::kCallInProgress)});
      return;
  }
}

void SlotReplica::read_program(Ticket ticket, const wire::ReadProgram& request,
                               NodeActions& actions) const {
  const auto* record = find_owned(request.program, request.tenant);
  if (record == nullptr) {
    actions.completed.push_back({ticket, refusal_reply(Kind::kUnknownProgram)});
    return;
  }
  wire::ProgramView view;
  view.program = record->opened.program;
  view.tenant = record->opened.tenant;
  view.kind = record->opened.kind;
  view.budget_tokens = record->opened.budget_tokens;
  view.settled_tokens = record->settled_tokens;
  view.reserved_tokens = record->reserved_tokens;
  view.ended = record->ended;
  view.next_sequence = record->next_sequence;
  view.history_digest = record->history_digest;
  view.history = program::SlotState::verified_history(*record);
  view.evictions_owed = record->evictions_owed;
  wire::ProgramReply reply;
  reply.__set_view(view);
  actions.completed.push_back({ticket, std::move(reply)});
}

void SlotReplica::report_tool_pause(Ticket ticket, const wire::ProgramRequest& request,
                                    NodeActions& actions) {
  const auto& pause = request.report_tool_pause;
  const auto* record = find_owned(pause.pause.program, pause.tenant);
  if (record == nullptr || record->ended) {
    const auto kind = record == nullptr ? Kind::kUnknownProgram : Kind::kProgramEnded;
    actions.completed.push_back({ticket, refusal_reply(kind)});
    return;
  }
  auto entry = wire::as_entry(pause.pause);
  wait_for(std::move(entry), {group_.view(), ticket, request, 0}, actions);
}

void SlotReplica::end_program(Ticket ticket, const wire::ProgramRequest& request,
                              NodeActions& actions) {
  const auto& end = request.end_program;
  if (find_owned(end.closed.program, end.tenant) == nullptr) {
    actions.completed.push_back({ticket, refusal_reply(Kind::kUnknownProgram)});
    return;
  }
  auto entry = wire::as_entry(end.closed);
  wait_for(std::move(entry), {group_.view(), ticket, request, 0}, actions);
}

void SlotReplica::roll_configuration(Ticket ticket, const wire::ProgramRequest& request,
                                     NodeActions& actions) {
  const auto& signed_bundle = request.roll_configuration.signed_bundle;
  const auto& in_force = state_.configuration();
  const auto refuse = [&](Kind::type kind, const std::string& detail) {
    auto reply = refusal_reply(kind);
    reply.refusal.detail = detail;
    actions.completed.push_back({ticket, std::move(reply)});
  };
  const auto& bundle = signed_bundle.bundle;
  auto problem =
      configuration::problem_with_signatures(signed_bundle, context_.policies.partner_keys);
  if (problem.empty()) problem = configuration::problem_alone(bundle);
  if (!problem.empty()) return refuse(Kind::kBundleRefused, problem);
  // An operator who lost the answer rolls the same bundle again.
  const auto rolled = std::find(in_force.bundles.begin(), in_force.bundles.end(), bundle);
  if (rolled != in_force.bundles.end()) {
    rolls_[ticket] = bundle.builds_on + 1;
    return;
  }
  if (bundle.builds_on != in_force.generation) {
    return refuse(Kind::kBundleConflict, describe_winner(in_force));
  }
  problem = configuration::problem_together(bundle, in_force);
  if (!problem.empty()) return refuse(Kind::kBundleRefused, problem);
  wire::ConfigurationAccepted accepted;
  accepted.signed_bundle = signed_bundle;
  wait_for(wire::as_entry(std::move(accepted)), {group_.view(), ticket, request, 0}, actions);
}

void SlotReplica::renew_lease(Ticket ticket, const wire::RenewConfigurationLease& request,
                              base::Millis now, NodeActions& actions) {
  leases_.renewed(request.member, request.generation, now);
  wire::ConfigurationLease lease;
  lease.generation = state_.configuration().generation;
  lease.duration_ms = context_.knobs.configuration_lease;
  if (lease.generation != request.generation) lease.__set_configuration(state_.configuration());
  wire::ProgramReply reply;
  reply.__set_configuration_lease(lease);
  actions.completed.push_back({ticket, std::move(reply)});
}

void SlotReplica::wait_for(wire::JournalEntry entry, Waiter waiter, NodeActions& actions) {
  const auto index = group_.propose(std::move(entry));
  if (!index) {
    actions.completed.push_back({waiter.ticket, redirect_reply(0)});
    return;
  }
  waiters_.emplace(*index, std::move(waiter));
}

bool SlotReplica::propose(const wire::JournalEntry& entry) {
  return group_.propose(entry).has_value();
}

bool SlotReplica::takes_programs(base::Millis now) const {
  return group_.may_serve(now) && holds_enough_copies();
}

/// Until the table service lists a second member, a founder's loss must not lose a program.
bool SlotReplica::holds_enough_copies() const {
  const auto enough = [this](const auto& members) {
    return members.size() >= context_.knobs.minimum_members;
  };
  const auto& rows = state_.possible_rows();
  return enough(group_.log().members().members) &&
         std::all_of(rows.begin(), rows.end(),
                     [&enough](const wire::SlotRow& row) { return enough(row.members); });
}

// ---------------------------------------------------------------- results

void SlotReplica::settle(base::Millis now, NodeActions& actions) {
  for (const auto& applied : group_.take_applied()) {
    const auto found = waiters_.find(applied.index);
    if (found == waiters_.end()) continue;
    const auto& waiter = found->second;
    const bool own = waiter.view == applied.view;
    const bool rolled = waiter.request.__isset.roll_configuration;
    if (own && rolled && applied.error == Kind::kNone) {
      rolls_[waiter.ticket] = waiter.request.roll_configuration.signed_bundle.bundle.builds_on + 1;
      waiters_.erase(found);
      continue;
    }
    actions.completed.push_back(
        {waiter.ticket, own ? reply_for(waiter, applied.error) : redirect_reply(group_.leader())});
    waiters_.erase(found);
  }
  if (group_.is_leader()) {
    if (!counted_as_leader_) {
      rebuild_outstanding();
      leases_.begin(now);
    }
    answer_rolls(now, actions);
    return;
  }
  if (counted_as_leader_) release_outstanding();
  for (const auto& [index, waiter] : waiters_) {
    actions.completed.push_back({waiter.ticket, redirect_reply(group_.leader())});
  }
  waiters_.clear();
  // The bundle is in the journal; whether it is in force everywhere the next authority can tell.
  for (const auto& [ticket, generation] : rolls_) {
    actions.completed.push_back({ticket, redirect_reply(group_.leader())});
  }
  rolls_.clear();
}

void SlotReplica::answer_rolls(base::Millis now, NodeActions& actions) {
  const auto& rules = *context_.policies.lease_rules;
  for (auto it = rolls_.begin(); it != rolls_.end();) {
    const bool done = !rules.wait_for_leases() || leases_.in_force_everywhere(it->second, now);
    if (done) actions.completed.push_back({it->first, accepted_reply(std::to_string(it->second))});
    it = done ? rolls_.erase(it) : std::next(it);
  }
}

wire::ProgramReply SlotReplica::reply_for(const Waiter& waiter, wire::ErrorKind::type error) const {
  try {
    return reply_for_applied(waiter, error);
  } catch (const std::runtime_error&) {
    return refusal_reply(Kind::kInternal);
  }
}

wire::ProgramReply SlotReplica::reply_for_applied(const Waiter& waiter,
                                                  wire::ErrorKind::type error) const {
  const auto& request = waiter.request;
  if (request.__isset.admit_call) {
    const auto& asked = request.admit_call.call;
    const auto* record = state_.find(asked.program);
    if (record == nullptr) return refusal_reply(Kind::kUnknownProgram);
    const auto* call = program::SlotState::find_call(*record, asked.request_key);
    const bool granted = error == Kind::kNone && call != nullptr &&
                         call->phase == CallPhase::kRunning && call->attempt == waiter.attempt;
    if (granted) return grant_reply(*record, *call);
    // Another request came first; say what the call is refused for now.
    const auto current = state_.check_admission(asked);
    const auto kind = current == Kind::kNone ? Kind::kCallInProgress : current;
    return call_refusal(error == Kind::kBudgetExceeded ? error : kind, call);
  }
  if (request.__isset.complete_attempt) {
    const auto& ended = request.complete_attempt.ended;
    if (ended.outcome == wire::Outcome::kNotRun && error == Kind::kNone) {
      return accepted_reply(ended.program);
    }
    // A repeated ending finds the call done: its outcome is the answer either way.
    const auto* record = state_.find(ended.program);
    if (record != nullptr) {
      for (const auto& call : record->calls) {
        const bool same = call.attempt == ended.attempt && call.phase == CallPhase::kDone;
        if (same) return outcome_reply(call.outcome);
      }
    }
    return refusal_reply(Kind::kOutcomeUnknown);
  }
  if (error == Kind::kBundleConflict) {
    auto reply = refusal_reply(error);
    reply.refusal.detail = describe_winner(state_.configuration());
    return reply;
  }
  if (error != Kind::kNone) return refusal_reply(error);
  if (request.__isset.open_program) return accepted_reply(request.open_program.program.program);
  if (request.__isset.end_program) return accepted_reply(request.end_program.closed.program);
  return accepted_reply(request.report_tool_pause.pause.program);
}

wire::ProgramReply SlotReplica::grant_reply(const wire::ProgramRecord& record,
                                            const wire::CallRecord& call) const {
  wire::Grant grant;
  grant.attempt = call.attempt;
  grant.backend = call.backend;
  grant.fence = group_.epoch() * kViewsPerEpoch + group_.view();
  grant.deadline_in_ms = call.deadline_in_ms;
  grant.token_ceiling = call.call.reserved_tokens;
  grant.earlier_attempts = call.attempts - 1;
  if (call.call.target_kind == wire::TargetKind::kEngine) {
    grant.history = program::SlotState::verified_history(record);
  }
  wire::ProgramReply reply;
  reply.__set_grant(grant);
  return reply;
}

const wire::ProgramRecord* SlotReplica::find_owned(const std::string& program,
                                                   const std::string& tenant) const {
  const auto* record = state_.find(program);
  return record != nullptr && record->opened.tenant == tenant ? record : nullptr;
}

// ---------------------------------------------------------------- state

wire::ErrorKind::type SlotReplica::apply(const wire::JournalEntry& entry) {
  const auto error = state_.apply(entry);
  if (error != Kind::kNone || !counted_as_leader_) return error;
  if (entry.attempt_started) {
    const auto& started = *entry.attempt_started;
    outstanding_[started.attempt] = started.backend;
    context_.backends.attempt_started(started.backend);
  }
  if (entry.attempt_ended) {
    const auto found = outstanding_.find(entry.attempt_ended->attempt);
    if (found != outstanding_.end()) {
      context_.backends.attempt_ended(found->second);
      outstanding_.erase(found);
    }
  }
  return error;
}

void SlotReplica::restore(const std::string& bytes) { state_.restore(bytes); }

void SlotReplica::rebuild_outstanding() {
  counted_as_leader_ = true;
  for (const auto& [id, record] : state_.programs()) {
    if (record.calls.empty()) continue;
    const auto& call = record.calls.back();
    if (call.phase != CallPhase::kRunning) continue;
    outstanding_[call.attempt] = call.backend;
    context_.backends.attempt_started(call.backend);
  }
}

void SlotReplica::release_outstanding() {
  counted_as_leader_ = false;
  for (const auto& [attempt, backend] : outstanding_) context_.backends.attempt_ended(backend);
  outstanding_.clear();
}

}  // namespace sailgate::node
