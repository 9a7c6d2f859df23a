#include "program/request_decision.hpp"

#include <stdexcept>

#include "program/program_replies.hpp"

namespace sailgate::program {

namespace {

using Kind = wire::ErrorKind;
using wire::CallPhase;

const wire::ProgramRecord* find_owned_program(const FamilyState& state, const std::string& program,
                                              const std::string& tenant) {
  const auto* record = state.find(program);
  return record != nullptr && record->opened.tenant == tenant ? record : nullptr;
}

wire::ProgramReply accepted_or_refused(wire::ErrorKind::type error, const std::string& program) {
  return error == Kind::kNone ? accepted_reply(program) : refusal_reply(error);
}

wire::ProgramReply grant_reply(const FamilyState& state, const wire::ProgramRecord& record,
                               const wire::CallRecord& call) {
  wire::Grant grant;
  grant.attempt = call.attempt;
  grant.backend = call.backend;
  grant.fence = state.attempts_started();
  grant.deadline_in_ms = call.deadline_in_ms;
  grant.token_ceiling = call.call.reserved_tokens;
  grant.earlier_attempts = call.attempts - 1;
  if (call.call.target_kind == wire::TargetKind::kEngine) {
    grant.history = FamilyState::verified_history(record);
  }
  wire::ProgramReply reply;
  reply.__set_grant(grant);
  return reply;
}

wire::ProgramReply start_attempt(FamilyState& state, const wire::AdmitCall& request, bool admitted,
                                 const DecisionContext& context) {
  const auto* record = state.find(request.call.program);
  const auto* call = FamilyState::find_call(*record, request.call.request_key);
  scheduling::CallContext call_context;
  call_context.target_kind = request.call.target_kind;
  call_context.target = request.call.target;
  call_context.engines_with_prefix = record->backends_used;
  call_context.zone = context.zone;
  const auto choice = context.chooser.choose(call_context, context.backends);
  if (choice.error != Kind::kNone) return call_refusal(choice.error, call);
  if (!admitted) {
    const auto error = state.admit(request.call, context.now_unix);
    if (error != Kind::kNone) return refusal_reply(error);
  }
  wire::AttemptStarted started;
  started.program = request.call.program;
  started.sequence = request.call.sequence;
  started.request_key = request.call.request_key;
  started.attempt = context.random.identifier();
  started.backend = choice.backend;
  started.gateway = request.gateway;
  started.gateway_address = request.gateway_address;
  started.nonce = request.nonce;
  started.deadline_in_ms = request.deadline_in_ms;
  const auto error = state.start(started, context.now_unix);
  call = FamilyState::find_call(*record, request.call.request_key);
  if (error != Kind::kNone) return call_refusal(error, call);
  return grant_reply(state, *record, *call);
}

wire::ProgramReply decide_known_call(FamilyState& state, const wire::AdmitCall& request,
                                     const wire::ProgramRecord& record,
                                     const wire::CallRecord& call, const DecisionContext& context) {
  if (!FamilyState::same_request(call.call, request.call)) return refusal_reply(Kind::kKeyReused);
  switch (call.phase) {
    case CallPhase::kDone:
      return outcome_reply(call.outcome);
    case CallPhase::kUnknown:
      return refusal_reply(Kind::kOutcomeUnknown);
    case CallPhase::kRunning: {
      // A retry by the same gateway, which did not learn that its grant was stored, gets the same
      // grant. Any other request is told that the call is in progress.
      const bool same_requester = call.gateway == request.gateway && call.nonce == request.nonce;
      return same_requester ? grant_reply(state, record, call)
                            : refusal_reply(Kind::kCallInProgress);
    }
    case CallPhase::kAdmitted:
      break;
  }
  if (record.ended) return call_refusal(Kind::kProgramEnded, &call);
  return start_attempt(state, request, true, context);
}

wire::ProgramReply admit(FamilyState& state, const wire::AdmitCall& request,
                         const DecisionContext& context) {
  const auto* record = find_owned_program(state, request.call.program, request.tenant);
  if (record == nullptr) return refusal_reply(Kind::kUnknownProgram);
  const auto* known = FamilyState::find_call(*record, request.call.request_key);
  if (known != nullptr) return decide_known_call(state, request, *record, *known, context);
  const auto error = state.check_admission(request.call);
  if (error != Kind::kNone) return refusal_reply(error);
  return start_attempt(state, request, false, context);
}

wire::ProgramReply complete(FamilyState& state, const wire::AttemptEnded& ended,
                            base::Millis now_unix) {
  const auto error = state.end(ended, now_unix);
  if (ended.outcome == wire::Outcome::kNotRun && error == Kind::kNone) {
    return accepted_reply(ended.program);
  }
  // A retried completion finds the call already done; both cases return the stored outcome.
  const auto* record = state.find(ended.program);
  if (record == nullptr) return refusal_reply(Kind::kOutcomeUnknown);
  for (const auto& call : record->calls) {
    const bool same = call.attempt == ended.attempt && call.phase == CallPhase::kDone;
    if (same) return outcome_reply(call.outcome);
  }
  return refusal_reply(Kind::kOutcomeUnknown);
}

wire::ProgramReply look_up(const FamilyState& state, const wire::LookUpCall& request) {
  const auto* record = find_owned_program(state, request.program, request.tenant);
  if (record == nullptr) return refusal_reply(Kind::kUnknownProgram);
  const auto* call = FamilyState::find_call(*record, request.request_key);
  if (call == nullptr) return refusal_reply(Kind::kUnknownCall);
  if (call->phase == CallPhase::kDone) return outcome_reply(call->outcome);
  if (call->phase == CallPhase::kUnknown) return refusal_reply(Kind::kOutcomeUnknown);
  return refusal_reply(Kind::kCallInProgress);
}

wire::ProgramReply read(const FamilyState& state, const wire::ReadProgram& request) {
  const auto* record = find_owned_program(state, request.program, request.tenant);
  if (record == nullptr) return refusal_reply(Kind::kUnknownProgram);
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
  view.history = FamilyState::verified_history(*record);
  view.evictions_owed = record->evictions_owed;
  wire::ProgramReply reply;
  reply.__set_view(view);
  return reply;
}

wire::ProgramReply pause(FamilyState& state, const wire::ReportToolPause& request,
                         base::Millis now_unix) {
  const auto& program = request.pause.program;
  if (find_owned_program(state, program, request.tenant) == nullptr) {
    return refusal_reply(Kind::kUnknownProgram);
  }
  return accepted_or_refused(state.pause(request.pause, now_unix), program);
}

wire::ProgramReply end(FamilyState& state, const wire::EndProgram& request, base::Millis now_unix) {
  const auto& program = request.closed.program;
  if (find_owned_program(state, program, request.tenant) == nullptr) {
    return refusal_reply(Kind::kUnknownProgram);
  }
  return accepted_or_refused(state.close(request.closed, now_unix), program);
}

wire::ProgramReply decide_checked(FamilyState& state, const wire::ProgramRequest& request,
                                  const DecisionContext& context) {
  if (request.__isset.open_program) {
    const auto& opened = request.open_program.program;
    return accepted_or_refused(state.open(opened, context.now_unix), opened.program);
  }
  if (request.__isset.admit_call) return admit(state, request.admit_call, context);
  if (request.__isset.complete_attempt) {
    return complete(state, request.complete_attempt.ended, context.now_unix);
  }
  if (request.__isset.look_up_call) return look_up(state, request.look_up_call);
  if (request.__isset.read_program) return read(state, request.read_program);
  if (request.__isset.report_tool_pause) {
    return pause(state, request.report_tool_pause, context.now_unix);
  }
  if (request.__isset.end_program) return end(state, request.end_program, context.now_unix);
  return refusal_reply(Kind::kMalformedRequest);
}

}  // namespace

wire::ProgramReply decide(FamilyState& state, const wire::ProgramRequest& request,
                          const DecisionContext& context) {
  try {
    return decide_checked(state, request, context);
  } catch (const std::runtime_error&) {
    // The program's history does not match its digest chain and must not be served.
    return refusal_reply(Kind::kInternal);
  }
}

std::string family_of(const wire::ProgramRequest& request) {
  if (request.__isset.open_program) return family_of(request.open_program.program.program);
  if (request.__isset.admit_call) return family_of(request.admit_call.call.program);
  if (request.__isset.complete_attempt) return family_of(request.complete_attempt.ended.program);
  if (request.__isset.look_up_call) return family_of(request.look_up_call.program);
  if (request.__isset.read_program) return family_of(request.read_program.program);
  if (request.__isset.report_tool_pause) return family_of(request.report_tool_pause.pause.program);
  return family_of(request.end_program.closed.program);
}

}  // namespace sailgate::program
