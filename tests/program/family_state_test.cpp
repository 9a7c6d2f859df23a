#include "program/family_state.hpp"

#include <catch2/catch.hpp>

using namespace sailgate;
using Kind = wire::ErrorKind;

namespace {

constexpr base::Millis kNow = 1000;

/// Helper that applies changes to a family state with short default arguments.
class Family {
 public:
  Kind::type open(const std::string& id, std::int64_t budget, const std::string& parent = "") {
    wire::ProgramOpened opened;
    opened.program = id;
    opened.tenant = "tenant";
    opened.budget_tokens = budget;
    opened.parent = parent;
    opened.call_limit = 3;
    return state.open(opened, kNow);
  }
  Kind::type admit(const std::string& id, int sequence, const std::string& key,
                   std::int64_t tokens = 10, bool repeatable = true) {
    wire::CallAdmitted call;
    call.program = id;
    call.sequence = sequence;
    call.request_key = key;
    call.request_body = "[]";
    call.repeatable = repeatable;
    call.reserved_tokens = tokens;
    return state.admit(call, kNow);
  }
  Kind::type start(const std::string& id, int sequence, const std::string& key,
                   std::int64_t attempt) {
    wire::AttemptStarted started;
    started.program = id;
    started.sequence = sequence;
    started.request_key = key;
    started.attempt = attempt;
    started.backend = "engine";
    return state.start(started, kNow);
  }
  Kind::type end(const std::string& id, int sequence, std::int64_t attempt,
                 wire::Outcome::type outcome, std::int64_t used = 5) {
    wire::AttemptEnded ended;
    ended.program = id;
    ended.sequence = sequence;
    ended.attempt = attempt;
    ended.outcome = outcome;
    ended.used_tokens = used;
    ended.result = "result";
    return state.end(ended, kNow);
  }
  Kind::type close(const std::string& id) {
    wire::ProgramClosed closed;
    closed.program = id;
    return state.close(closed, kNow);
  }
  void run(const std::string& id, int sequence, const std::string& key) {
    REQUIRE(admit(id, sequence, key) == Kind::kNone);
    REQUIRE(start(id, sequence, key, sequence) == Kind::kNone);
    REQUIRE(end(id, sequence, sequence, wire::Outcome::kSucceeded) == Kind::kNone);
  }

  program::FamilyState state{std::make_shared<program::ProgramRules>()};
};

}  // namespace

TEST_CASE("calls are admitted in sequence, one at a time", "[program]") {
  Family family;
  family.open("p", 100);
  REQUIRE(family.admit("p", 2, "b") == Kind::kWrongSequence);
  REQUIRE(family.admit("p", 1, "a") == Kind::kNone);
  REQUIRE(family.admit("p", 2, "b") == Kind::kWrongSequence);
  REQUIRE(family.start("p", 1, "a", 7) == Kind::kNone);
  REQUIRE(family.end("p", 1, 7, wire::Outcome::kSucceeded) == Kind::kNone);
  REQUIRE(family.admit("p", 2, "b") == Kind::kNone);
}

TEST_CASE("the number of calls is bounded", "[program]") {
  Family family;
  family.open("p", 1000);
  for (int sequence = 1; sequence <= 3; ++sequence) {
    family.run("p", sequence, std::to_string(sequence));
  }
  REQUIRE(family.admit("p", 4, "4") == Kind::kCallLimitReached);
}

TEST_CASE("a call that is not repeatable gets only one attempt", "[program]") {
  Family family;
  family.open("p", 100);
  family.admit("p", 1, "a", 0, false);
  REQUIRE(family.start("p", 1, "a", 1) == Kind::kNone);
  REQUIRE(family.end("p", 1, 1, wire::Outcome::kUnknown) == Kind::kNone);
  REQUIRE(family.start("p", 1, "a", 2) == Kind::kCallInProgress);
  // An outcome that becomes known later is still accepted.
  REQUIRE(family.end("p", 1, 1, wire::Outcome::kSucceeded) == Kind::kNone);
  REQUIRE(family.state.find("p")->next_sequence == 2);
}

TEST_CASE("the outcome of another attempt is rejected", "[program]") {
  Family family;
  family.open("p", 100);
  family.admit("p", 1, "a");
  family.start("p", 1, "a", 1);
  REQUIRE(family.end("p", 1, 2, wire::Outcome::kSucceeded) == Kind::kUnknownCall);
  REQUIRE(family.state.find("p")->next_sequence == 1);
}

TEST_CASE("a call whose only attempt provably did not run is removed", "[program]") {
  Family family;
  family.open("p", 100);
  family.admit("p", 1, "a");
  family.start("p", 1, "a", 1);
  REQUIRE(family.end("p", 1, 1, wire::Outcome::kNotRun) == Kind::kNone);
  REQUIRE(family.state.find("p")->calls.empty());
  REQUIRE(family.state.find("p")->reserved_tokens == 0);
  REQUIRE(family.admit("p", 1, "b") == Kind::kNone);
}

TEST_CASE("a lost attempt is charged in full, and the next one needs a new reservation",
          "[program]") {
  Family family;
  family.open("p", 25);
  family.admit("p", 1, "a", 10);
  family.start("p", 1, "a", 1);
  family.end("p", 1, 1, wire::Outcome::kUnknown);
  REQUIRE(family.state.find("p")->settled_tokens == 10);
  REQUIRE(family.start("p", 1, "a", 2) == Kind::kNone);
  family.end("p", 1, 2, wire::Outcome::kUnknown);
  REQUIRE(family.start("p", 1, "a", 3) == Kind::kBudgetExceeded);
}

TEST_CASE("sub-programs reserve from their parent's budget and return unused tokens", "[program]") {
  Family family;
  family.open("p", 100);
  REQUIRE(family.open("p.c", 80, "p") == Kind::kNone);
  REQUIRE(family.open("p.d", 30, "p") == Kind::kBudgetExceeded);
  family.run("p.c", 1, "a");
  family.close("p.c");
  REQUIRE(family.state.find("p")->reserved_tokens == 0);
  REQUIRE(family.state.find("p")->settled_tokens == 5);
  REQUIRE(family.open("p.d", 90, "p") == Kind::kNone);
}

TEST_CASE("closing a program closes its descendants and requires evictions", "[program]") {
  Family family;
  family.open("p", 100);
  family.open("p.c", 50, "p");
  family.open("q", 100);
  family.run("p.c", 1, "a");
  family.close("p");
  REQUIRE(family.state.find("p.c")->ended);
  REQUIRE(family.state.find("p.c")->evictions_owed == std::vector<std::string>{"engine"});
  REQUIRE_FALSE(family.state.find("q")->ended);
}

TEST_CASE("an eviction is not accepted as done while an attempt runs on the engine", "[program]") {
  Family family;
  family.open("p", 100);
  family.admit("p", 1, "a");
  family.start("p", 1, "a", 1);
  family.close("p");
  wire::EvictionAcknowledged acknowledged;
  acknowledged.program = "p";
  acknowledged.backend = "engine";
  REQUIRE(family.state.acknowledge_eviction(acknowledged) == Kind::kCallInProgress);
  family.end("p", 1, 1, wire::Outcome::kSucceeded);
  REQUIRE(family.state.find("p")->evictions_owed.size() == 1);
  REQUIRE(family.state.acknowledge_eviction(acknowledged) == Kind::kNone);
  REQUIRE(family.state.finished());
}

TEST_CASE("a history that does not match its digest chain is never served", "[program]") {
  Family family;
  family.open("p", 100);
  family.run("p", 1, "a");
  auto record = *family.state.find("p");
  record.calls.front().outcome.result = "result of another call";
  REQUIRE_THROWS_AS(program::FamilyState::verified_history(record), std::runtime_error);
}
