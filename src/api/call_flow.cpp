#include "api/call_flow.hpp"

#include "base/refusal.hpp"
#include "wire/replies.hpp"

namespace sailgate::api {
namespace {

using Kind = wire::ErrorKind;

/// Pause before a decision is asked for again.
constexpr base::Millis kRetryPause = 50;
/// Age at which an unused grant is given back.
constexpr base::Millis kGrantFreshness = 500;
/// Pause between look-ups of a call that another gateway is running.
constexpr base::Millis kLookUpPause = 100;

bool refused_with(const wire::ProgramReply& reply, wire::ErrorKind::type kind) {
  return reply.__isset.refusal && reply.refusal.kind == kind;
}

}  // namespace

bool grant_is_fresh(base::Millis age, bool backend_leaving) {
  return age <= kGrantFreshness && !backend_leaving;
}

bool FlowRules::answer_matches(std::int64_t attempt, const DispatchResult& result) const {
  return result.answered_attempt == attempt;
}

bool FlowRules::wait_for_commit() const { return true; }

wire::Outcome::type FlowRules::outcome_of_loss() const { return wire::Outcome::kUnknown; }

CallFlow::CallFlow(const FlowRules& rules, wire::AdmitCall admit, base::Millis give_up_at,
                   bool first_send)
    : rules_(rules), admit_(std::move(admit)), give_up_at_(give_up_at), first_send_(first_send) {}

FlowStep CallFlow::start() {
  waiting_for_ = FlowStep::Kind::kAdmit;
  FlowStep step;
  step.kind = FlowStep::Kind::kAdmit;
  step.request.__set_admit_call(admit_);
  return step;
}

FlowStep CallFlow::on_reply(const wire::ProgramReply& reply, base::Millis now) {
  if (waiting_for_ == FlowStep::Kind::kAdmit) return on_admit_reply(reply, now);
  if (waiting_for_ == FlowStep::Kind::kComplete) return on_complete_reply(reply, now);
  return on_look_up_reply(reply, now);
}

// ---------------------------------------------------------------- admission

FlowStep CallFlow::admit_again(base::Millis now) {
  // NOTE: this flow dispatched nothing and never will, but an earlier copy of the request may run
  // through another gateway, and the store was silent.
  if (now + kRetryPause >= give_up_at_) {
    const auto ran = first_send_ ? wire::Ran::kNotRun : wire::Ran::kUnknown;
    return refuse(Kind::kStoreUnavailable, ran);
  }
  auto step = start();
  step.wait = kRetryPause;
  return step;
}

FlowStep CallFlow::on_admit_reply(const wire::ProgramReply& reply, base::Millis now) {
  if (!wire::is_decisive(reply)) return admit_again(now);
  if (reply.__isset.grant) {
    grant_ = reply.grant;
    if (now >= give_up_at_) return refuse(Kind::kDeadlineExceeded, unsent_ran());
    waiting_for_ = FlowStep::Kind::kDispatch;
    FlowStep step;
    step.kind = FlowStep::Kind::kDispatch;
    step.grant = grant_;
    return step;
  }
  if (refused_with(reply, Kind::kCallInProgress)) {
    if (now + kLookUpPause >= give_up_at_) return answer(reply);
    waiting_for_ = FlowStep::Kind::kLookUp;
    return look_up(kLookUpPause);
  }
  return answer(reply);
}

// ---------------------------------------------------------------- dispatch

FlowStep CallFlow::on_dispatched(const DispatchResult& result) {
  using ResultKind = DispatchResult::Kind;
  ended_ = wire::AttemptEnded{};
  ended_.program = admit_.call.program;
  ended_.sequence = admit_.call.sequence;
  ended_.attempt = grant_.attempt;
  const bool answered = result.kind == ResultKind::kSucceeded || result.kind == ResultKind::kFailed;
  if (answered && rules_.answer_matches(grant_.attempt, result)) {
    const bool success = result.kind == ResultKind::kSucceeded;
    ended_.outcome = success ? wire::Outcome::kSucceeded : wire::Outcome::kFailed;
    ended_.error = success ? Kind::kNone : Kind::kBackendFailed;
    ended_.used_tokens = result.used_tokens;
    ended_.result = result.result;
  } else if (result.kind == ResultKind::kUnsent || result.kind == ResultKind::kRefused) {
    ended_.outcome = wire::Outcome::kNotRun;
  } else {
    ended_.outcome = rules_.outcome_of_loss();
  }
  if (!rules_.wait_for_commit() && ended_.outcome == wire::Outcome::kSucceeded) {
    wire::CallOutcome outcome;
    outcome.outcome = ended_.outcome;
    outcome.result = ended_.result;
    outcome.sequence = ended_.sequence;
    wire::ProgramReply reply;
    reply.__set_outcome(outcome);
    return answer(std::move(reply));
  }
  return complete(0);
}

FlowStep CallFlow::complete(base::Millis wait) {
  waiting_for_ = FlowStep::Kind::kComplete;
  FlowStep step;
  step.kind = FlowStep::Kind::kComplete;
  step.wait = wait;
  wire::CompleteAttempt request;
  request.ended = ended_;
  step.request.__set_complete_attempt(request);
  return step;
}

FlowStep CallFlow::on_complete_reply(const wire::ProgramReply& reply, base::Millis now) {
  const bool not_run = ended_.outcome == wire::Outcome::kNotRun;
  const bool unknown = ended_.outcome == wire::Outcome::kUnknown;
  if (!wire::is_decisive(reply)) {
    if (now + kRetryPause < give_up_at_) return complete(kRetryPause);
    if (not_run) return refuse(Kind::kBackendRefused, unsent_ran());
    return refuse(Kind::kOutcomeUnknown, unknown ? wire::Ran::kUnknown : wire::Ran::kRan);
  }
  if (reply.__isset.outcome) return answer(reply);
  if (not_run) return refuse(Kind::kBackendRefused, unsent_ran());
  if (unknown) return refuse(Kind::kBackendTimeout, wire::Ran::kUnknown);
  // Another node had given this attempt up before its end was reported.
  return refuse(Kind::kOutcomeUnknown, wire::Ran::kUnknown);
}

// ---------------------------------------------------------------- joining

FlowStep CallFlow::look_up(base::Millis wait) const {
  FlowStep step;
  step.kind = FlowStep::Kind::kLookUp;
  step.wait = wait;
  wire::LookUpCall request;
  request.program = admit_.call.program;
  request.request_key = admit_.call.request_key;
  request.tenant = admit_.tenant;
  step.request.__set_look_up_call(request);
  return step;
}

FlowStep CallFlow::on_look_up_reply(const wire::ProgramReply& reply, base::Millis now) {
  if (now + kLookUpPause >= give_up_at_) {
    return reply.__isset.outcome ? answer(reply)
                                 : refuse(Kind::kCallInProgress, wire::Ran::kUnknown);
  }
  if (!wire::is_decisive(reply) || refused_with(reply, Kind::kCallInProgress))
    return look_up(kLookUpPause);
  // The running attempt was given up without effect: this request takes its turn.
  if (refused_with(reply, Kind::kUnknownCall)) return admit_again(now);
  return answer(reply);
}

// ---------------------------------------------------------------- answers

FlowStep CallFlow::answer(wire::ProgramReply reply) const {
  FlowStep step;
  step.kind = FlowStep::Kind::kAnswer;
  step.answer = std::move(reply);
  return step;
}

/// What is known after this attempt provably did not reach its back end.
wire::Ran::type CallFlow::unsent_ran() const {
  return grant_.earlier_attempts > 0 ? wire::Ran::kUnknown : wire::Ran::kNotRun;
}

FlowStep CallFlow::refuse(wire::ErrorKind::type kind, wire::Ran::type ran) const {
  wire::ProgramReply reply;
  reply.__set_refusal(base::make_refusal(kind, ran));
  return answer(std::move(reply));
}

}  // namespace sailgate::api
