#include "program/request_decision.hpp"

#include <catch2/catch.hpp>

using namespace sailgate;
using Kind = wire::ErrorKind;

namespace {

struct Fixture {
  program::FamilyState state{std::make_shared<program::ProgramRules>()};
  scheduling::BackendChooser chooser;
  scheduling::BackendDirectory backends;
  std::string zone = "z";
  base::Random random{1};

  Fixture() {
    scheduling::Backend backend;
    backend.id = "engine";
    backend.targets = {"model"};
    backends.add(backend);
    wire::OpenProgram open;
    open.program.program = "p";
    open.program.tenant = "tenant";
    open.program.budget_tokens = 100;
    open.program.call_limit = 5;
    wire::ProgramRequest request;
    request.__set_open_program(open);
    decide(request);
  }

  wire::ProgramReply decide(const wire::ProgramRequest& request) {
    return program::decide(state, request, {chooser, backends, zone, random, 1000});
  }
  wire::ProgramReply admit(std::int64_t gateway, std::int64_t nonce,
                           const std::string& tenant = "tenant") {
    wire::AdmitCall admit;
    admit.call.program = "p";
    admit.call.sequence = 1;
    admit.call.request_key = "k";
    admit.call.target = "model";
    admit.call.repeatable = true;
    admit.call.reserved_tokens = 10;
    admit.gateway = gateway;
    admit.nonce = nonce;
    admit.tenant = tenant;
    wire::ProgramRequest request;
    request.__set_admit_call(admit);
    return decide(request);
  }
  wire::ProgramReply complete(std::int64_t attempt, const std::string& result) {
    wire::CompleteAttempt complete;
    complete.ended.program = "p";
    complete.ended.sequence = 1;
    complete.ended.attempt = attempt;
    complete.ended.result = result;
    wire::ProgramRequest request;
    request.__set_complete_attempt(complete);
    return decide(request);
  }
};

}  // namespace

TEST_CASE_METHOD(Fixture, "a call is granted once, to the first requester", "[program]") {
  const auto granted = admit(1, 11);
  REQUIRE(granted.__isset.grant);
  // A retry after a lost response gets the same attempt.
  REQUIRE(admit(1, 11).grant.attempt == granted.grant.attempt);
  REQUIRE(admit(2, 22).refusal.kind == Kind::kCallInProgress);
}

TEST_CASE_METHOD(Fixture, "a repeated completion returns the same outcome", "[program]") {
  const auto attempt = admit(1, 11).grant.attempt;
  REQUIRE(complete(attempt, "result").outcome.result == "result");
  REQUIRE(complete(attempt, "result").outcome.result == "result");
  REQUIRE(admit(2, 22).outcome.result == "result");
}

TEST_CASE_METHOD(Fixture, "another tenant's program is reported as unknown", "[program]") {
  REQUIRE(admit(1, 11, "stranger").refusal.kind == Kind::kUnknownProgram);
}

TEST_CASE_METHOD(Fixture, "no call is admitted without a feasible back end", "[program]") {
  backends.set_leaving("engine", true);
  REQUIRE(admit(1, 11).refusal.kind == Kind::kNoFeasibleBackend);
  REQUIRE(state.find("p")->calls.empty());
}

TEST_CASE_METHOD(Fixture, "a later attempt gets a higher fence", "[program]") {
  const auto first = admit(1, 11).grant;
  wire::AttemptEnded lost;
  lost.program = "p";
  lost.sequence = 1;
  lost.attempt = first.attempt;
  lost.outcome = wire::Outcome::kUnknown;
  state.end(lost, 1000);
  const auto second = admit(2, 22).grant;
  REQUIRE(second.fence > first.fence);
  REQUIRE(second.earlier_attempts == 1);
}
