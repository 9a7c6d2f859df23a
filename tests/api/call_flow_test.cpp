#include "api/call_flow.hpp"

#include <catch2/catch.hpp>

using namespace sailgate;
using api::CallFlow;
using api::DispatchResult;
using api::FlowStep;

namespace {

constexpr base::Millis kGiveUp = 1000;
const api::FlowRules kRules;

wire::ProgramReply grant(std::int64_t attempt, int earlier_attempts = 0) {
  wire::Grant granted;
  granted.attempt = attempt;
  granted.earlier_attempts = earlier_attempts;
  wire::ProgramReply reply;
  reply.__set_grant(granted);
  return reply;
}

wire::ProgramReply accepted() {
  wire::ProgramReply reply;
  reply.__set_accepted({});
  return reply;
}

DispatchResult dispatched(DispatchResult::Kind kind, std::int64_t attempt) {
  DispatchResult result;
  result.kind = kind;
  result.answered_attempt = attempt;
  return result;
}

}  // namespace

TEST_CASE("while the store is silent only a first copy is called not run", "[api]") {
  CallFlow first(kRules, {}, kGiveUp, true);
  first.start();
  REQUIRE(first.on_reply({}, kGiveUp).answer.refusal.ran == wire::Ran::kNotRun);
  CallFlow repeated(kRules, {}, kGiveUp, false);
  repeated.start();
  REQUIRE(repeated.on_reply({}, kGiveUp).answer.refusal.ran == wire::Ran::kUnknown);
}

TEST_CASE("a lost reply is asked for again before the caller is answered", "[api]") {
  CallFlow flow(kRules, {}, kGiveUp, true);
  flow.start();
  const auto step = flow.on_reply({}, 0);
  REQUIRE(step.kind == FlowStep::Kind::kAdmit);
  REQUIRE(step.wait > 0);
}

TEST_CASE("an attempt that did not reach the back end is not run", "[api]") {
  CallFlow flow(kRules, {}, kGiveUp, false);
  flow.start();
  flow.on_reply(grant(7), 0);
  const auto step = flow.on_dispatched(dispatched(DispatchResult::Kind::kUnsent, 0));
  REQUIRE(step.request.complete_attempt.ended.outcome == wire::Outcome::kNotRun);
  REQUIRE(flow.on_reply(accepted(), 0).answer.refusal.ran == wire::Ran::kNotRun);
}

TEST_CASE("after an earlier attempt an unsent one is not called not run", "[api]") {
  CallFlow flow(kRules, {}, kGiveUp, false);
  flow.start();
  flow.on_reply(grant(7, 1), 0);
  flow.on_dispatched(dispatched(DispatchResult::Kind::kUnsent, 0));
  REQUIRE(flow.on_reply(accepted(), 0).answer.refusal.ran == wire::Ran::kUnknown);
}

TEST_CASE("an answer for another attempt counts as lost", "[api]") {
  CallFlow flow(kRules, {}, kGiveUp, false);
  flow.start();
  flow.on_reply(grant(7), 0);
  const auto step = flow.on_dispatched(dispatched(DispatchResult::Kind::kSucceeded, 8));
  REQUIRE(step.request.complete_attempt.ended.outcome == wire::Outcome::kUnknown);
}

TEST_CASE("the answer waits for the commit of its ending", "[api]") {
  CallFlow flow(kRules, {}, kGiveUp, false);
  flow.start();
  flow.on_reply(grant(7), 0);
  auto step = flow.on_dispatched(dispatched(DispatchResult::Kind::kSucceeded, 7));
  REQUIRE(step.kind == FlowStep::Kind::kComplete);
  step = flow.on_reply({}, 0);
  REQUIRE(step.kind == FlowStep::Kind::kComplete);
  step = flow.on_reply({}, kGiveUp);
  REQUIRE(step.kind == FlowStep::Kind::kAnswer);
  REQUIRE(step.answer.refusal.kind == wire::ErrorKind::kOutcomeUnknown);
}

TEST_CASE("a grant is not used after a pause or for a leaving back end", "[api]") {
  REQUIRE(api::grant_is_fresh(10, false));
  REQUIRE_FALSE(api::grant_is_fresh(10, true));
  REQUIRE_FALSE(api::grant_is_fresh(5000, false));
}
