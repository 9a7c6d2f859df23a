#include "program/due_work.hpp"

#include <catch2/catch.hpp>

using namespace sailgate;
using program::FamilyState;
using program::process_due_work;

namespace {

constexpr base::Millis kStart = 1'000'000;
constexpr base::Millis kDeadline = 5000;
const base::Knobs kKnobs;

/// A family with one program; run_call() opens it and starts an attempt of its first call.
struct Fixture {
  FamilyState state{std::make_shared<program::ProgramRules>()};

  void run_call(wire::TargetKind::type kind) {
    wire::ProgramOpened opened;
    opened.program = "p";
    opened.call_limit = 5;
    state.open(opened, kStart);
    wire::CallAdmitted call;
    call.program = "p";
    call.sequence = 1;
    call.request_key = "k";
    call.target_kind = kind;
    call.repeatable = kind == wire::TargetKind::kEngine;
    state.admit(call, kStart);
    wire::AttemptStarted started;
    started.program = "p";
    started.sequence = 1;
    started.request_key = "k";
    started.attempt = 7;
    started.backend = "backend";
    started.gateway = 3;
    started.deadline_in_ms = kDeadline;
    state.start(started, kStart);
    state.mark_stored();
  }
  wire::CallPhase::type phase() const { return state.find("p")->calls.back().phase; }
  void close() {
    wire::ProgramClosed closed;
    closed.program = "p";
    state.close(closed, kStart);
  }
};

}  // namespace

TEST_CASE_METHOD(Fixture, "a recently started attempt needs no action", "[program]") {
  run_call(wire::TargetKind::kEngine);
  const auto actions = process_due_work(state, kStart + 10, kKnobs);
  REQUIRE(actions.checks.empty());
  REQUIRE_FALSE(state.changed());
}

TEST_CASE_METHOD(Fixture, "the gateway of a long-running attempt is queried", "[program]") {
  run_call(wire::TargetKind::kEngine);
  const auto actions = process_due_work(state, kStart + kKnobs.gateway_check_interval, kKnobs);
  REQUIRE(actions.checks.size() == 1);
  REQUIRE(actions.checks.front().gateway == 3);
  // The state counts as changed, so that a new due time is stored and no other node repeats the
  // query at once.
  REQUIRE(state.changed());
  REQUIRE(phase() == wire::CallPhase::kRunning);
}

TEST_CASE_METHOD(Fixture, "a repeatable call can be attempted again after its gateway is lost",
                 "[program]") {
  run_call(wire::TargetKind::kEngine);
  const auto actions = process_due_work(state, kStart + kKnobs.gateway_check_interval, kKnobs);
  program::mark_attempt_lost(state, actions.checks.front(), kStart + 3000);
  REQUIRE(phase() == wire::CallPhase::kAdmitted);
}

TEST_CASE_METHOD(Fixture, "an overdue attempt is cancelled and its call can be attempted again",
                 "[program]") {
  run_call(wire::TargetKind::kEngine);
  const auto overdue = kStart + kDeadline + kKnobs.attempt_grace;
  REQUIRE(program::next_due_at(state, kStart, kKnobs) <= overdue);
  const auto actions = process_due_work(state, overdue, kKnobs);
  REQUIRE(actions.cancels.size() == 1);
  REQUIRE(phase() == wire::CallPhase::kAdmitted);
}

TEST_CASE_METHOD(Fixture, "an unknown outcome is queried until it is known", "[program]") {
  run_call(wire::TargetKind::kApplication);
  const auto overdue = kStart + kDeadline + kKnobs.attempt_grace;
  auto actions = process_due_work(state, overdue, kKnobs);
  REQUIRE(actions.inquiries.size() == 1);
  program::InquiryAnswer answer;
  answer.inquiry = actions.inquiries.front();
  program::apply_inquiry_answer(state, answer, overdue);
  REQUIRE(phase() == wire::CallPhase::kUnknown);
  REQUIRE(program::next_due_at(state, overdue, kKnobs) <= overdue + kKnobs.inquiry_interval);
  answer.verdict = program::InquiryAnswer::Verdict::kRan;
  answer.result = "done";
  program::apply_inquiry_answer(state, answer, overdue);
  REQUIRE(phase() == wire::CallPhase::kDone);
}

TEST_CASE_METHOD(Fixture, "a call that provably did not run is removed", "[program]") {
  run_call(wire::TargetKind::kApplication);
  auto actions = process_due_work(state, kStart + kDeadline + kKnobs.attempt_grace, kKnobs);
  program::InquiryAnswer answer;
  answer.inquiry = actions.inquiries.front();
  answer.verdict = program::InquiryAnswer::Verdict::kNotRun;
  program::apply_inquiry_answer(state, answer, kStart + kDeadline);
  REQUIRE(state.find("p")->calls.empty());
}

TEST_CASE_METHOD(Fixture,
                 "an ended program is removed after its evictions and the retention period",
                 "[program]") {
  run_call(wire::TargetKind::kEngine);
  wire::AttemptEnded ended;
  ended.program = "p";
  ended.sequence = 1;
  ended.attempt = 7;
  state.end(ended, kStart);
  close();
  auto actions = process_due_work(state, kStart, kKnobs);
  REQUIRE(actions.evictions.size() == 1);
  REQUIRE_FALSE(actions.remove_family);
  wire::EvictionAcknowledged acknowledged;
  acknowledged.program = "p";
  acknowledged.backend = "backend";
  state.acknowledge_eviction(acknowledged);
  const auto retention_end = kStart + kKnobs.retention;
  REQUIRE(program::next_due_at(state, kStart, kKnobs) == retention_end);
  REQUIRE_FALSE(process_due_work(state, retention_end - 1, kKnobs).remove_family);
  REQUIRE(process_due_work(state, retention_end, kKnobs).remove_family);
}

TEST_CASE_METHOD(Fixture, "an idle program is ended, but not during a reported tool pause",
                 "[program]") {
  wire::ProgramOpened opened;
  opened.program = "p";
  state.open(opened, kStart);
  wire::ToolPauseReported pause;
  pause.program = "p";
  pause.expected_ms = 10'000;
  state.pause(pause, kStart);
  process_due_work(state, kStart + kKnobs.idle_limit, kKnobs);
  REQUIRE_FALSE(state.find("p")->ended);
  process_due_work(state, kStart + kKnobs.idle_limit + pause.expected_ms, kKnobs);
  REQUIRE(state.find("p")->ended);
}
