#include "program/slot_state.hpp"

#include <catch2/catch.hpp>

#include "wire/codec.hpp"
#include "wire/union_values.hpp"

using namespace sailgate;
using Kind = wire::ErrorKind;

namespace {

constexpr std::size_t kRoomy = 1U << 20U;

/// Builds journal entries of one program with little text.
class Journal {
 public:
  explicit Journal(std::size_t limit = kRoomy)
      : state(std::make_shared<program::ProgramRules>(), limit) {}

  Kind::type open(const std::string& id, std::int64_t budget, const std::string& parent = "") {
    wire::ProgramOpened opened;
    opened.program = id;
    opened.tenant = "tenant";
    opened.budget_tokens = budget;
    opened.parent = parent;
    opened.call_limit = 3;
    return state.apply(wire::as_entry(opened));
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
    return state.apply(wire::as_entry(call));
  }
  Kind::type start(const std::string& id, int sequence, const std::string& key,
                   std::int64_t attempt) {
    wire::AttemptStarted started;
    started.program = id;
    started.sequence = sequence;
    started.request_key = key;
    started.attempt = attempt;
    started.backend = "engine";
    return state.apply(wire::as_entry(started));
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
    return state.apply(wire::as_entry(ended));
  }
  Kind::type close(const std::string& id) {
    wire::ProgramClosed closed;
    closed.program = id;
    return state.apply(wire::as_entry(closed));
  }
  void run(const std::string& id, int sequence, const std::string& key) {
    REQUIRE(admit(id, sequence, key) == Kind::kNone);
    REQUIRE(start(id, sequence, key, sequence) == Kind::kNone);
    REQUIRE(end(id, sequence, sequence, wire::Outcome::kSucceeded) == Kind::kNone);
  }

  program::SlotState state;
};

}  // namespace

TEST_CASE("calls are admitted one after the other", "[program]") {
  Journal journal;
  journal.open("p", 100);
  REQUIRE(journal.admit("p", 2, "b") == Kind::kWrongSequence);
  REQUIRE(journal.admit("p", 1, "a") == Kind::kNone);
  REQUIRE(journal.admit("p", 2, "b") == Kind::kWrongSequence);
  REQUIRE(journal.start("p", 1, "a", 7) == Kind::kNone);
  REQUIRE(journal.end("p", 1, 7, wire::Outcome::kSucceeded) == Kind::kNone);
  REQUIRE(journal.admit("p", 2, "b") == Kind::kNone);
}

TEST_CASE("the number of calls is bounded", "[program]") {
  Journal journal;
  journal.open("p", 1000);
  for (int sequence = 1; sequence <= 3; ++sequence) {
    journal.run("p", sequence, std::to_string(sequence));
  }
  REQUIRE(journal.admit("p", 4, "4") == Kind::kCallLimitReached);
}

TEST_CASE("a call that may not be repeated gets one attempt, ever", "[program]") {
  Journal journal;
  journal.open("p", 100);
  journal.admit("p", 1, "a", 0, false);
  REQUIRE(journal.start("p", 1, "a", 1) == Kind::kNone);
  REQUIRE(journal.end("p", 1, 1, wire::Outcome::kUnknown) == Kind::kNone);
  REQUIRE(journal.start("p", 1, "a", 2) == Kind::kCallInProgress);
  // The outcome becomes known later and counts.
  REQUIRE(journal.end("p", 1, 1, wire::Outcome::kSucceeded) == Kind::kNone);
  REQUIRE(journal.state.find("p")->next_sequence == 2);
}

TEST_CASE("an ending of another attempt changes nothing", "[program]") {
  Journal journal;
  journal.open("p", 100);
  journal.admit("p", 1, "a");
  journal.start("p", 1, "a", 1);
  REQUIRE(journal.end("p", 1, 2, wire::Outcome::kSucceeded) == Kind::kUnknownCall);
  REQUIRE(journal.state.find("p")->next_sequence == 1);
}

TEST_CASE("an attempt proved unsent leaves no trace of its call", "[program]") {
  Journal journal;
  journal.open("p", 100);
  journal.admit("p", 1, "a");
  journal.start("p", 1, "a", 1);
  REQUIRE(journal.end("p", 1, 1, wire::Outcome::kNotRun) == Kind::kNone);
  REQUIRE(journal.state.find("p")->calls.empty());
  REQUIRE(journal.state.find("p")->reserved_tokens == 0);
  REQUIRE(journal.admit("p", 1, "b") == Kind::kNone);
}

TEST_CASE("a lost attempt is charged in full, and the next one needs tokens of its own",
          "[program]") {
  Journal journal;
  journal.open("p", 25);
  journal.admit("p", 1, "a", 10);
  journal.start("p", 1, "a", 1);
  journal.end("p", 1, 1, wire::Outcome::kUnknown);
  REQUIRE(journal.state.find("p")->settled_tokens == 10);
  REQUIRE(journal.start("p", 1, "a", 2) == Kind::kNone);
  journal.end("p", 1, 2, wire::Outcome::kUnknown);
  REQUIRE(journal.start("p", 1, "a", 3) == Kind::kBudgetExceeded);
}

TEST_CASE("sub-programs draw on their parent's budget and return what they did not use",
          "[program]") {
  Journal journal;
  journal.open("p", 100);
  REQUIRE(journal.open("p.c", 80, "p") == Kind::kNone);
  REQUIRE(journal.open("p.d", 30, "p") == Kind::kBudgetExceeded);
  journal.run("p.c", 1, "a");
  journal.close("p.c");
  REQUIRE(journal.state.find("p")->reserved_tokens == 0);
  REQUIRE(journal.state.find("p")->settled_tokens == 5);
  REQUIRE(journal.open("p.d", 90, "p") == Kind::kNone);
}

TEST_CASE("closing a program closes its descendants and owes evictions", "[program]") {
  Journal journal;
  journal.open("p", 100);
  journal.open("p.c", 50, "p");
  journal.open("q", 100);
  journal.run("p.c", 1, "a");
  journal.close("p");
  REQUIRE(journal.state.find("p.c")->ended);
  REQUIRE(journal.state.find("p.c")->evictions_owed == std::vector<std::string>{"engine"});
  REQUIRE_FALSE(journal.state.find("q")->ended);
}

TEST_CASE("an attempt that ends after its program owes the eviction again", "[program]") {
  Journal journal;
  journal.open("p", 100);
  journal.admit("p", 1, "a");
  journal.start("p", 1, "a", 1);
  journal.close("p");
  wire::EvictionAcknowledged acknowledged;
  acknowledged.program = "p";
  acknowledged.backend = "engine";
  journal.state.apply(wire::as_entry(acknowledged));
  REQUIRE(journal.state.find("p")->evictions_owed.empty());
  journal.end("p", 1, 1, wire::Outcome::kSucceeded);
  REQUIRE(journal.state.find("p")->evictions_owed.size() == 1);
}

TEST_CASE("the bound on memory answers with a refusal", "[program]") {
  Journal journal(600);
  REQUIRE(journal.open("a", 1) == Kind::kNone);
  REQUIRE(journal.open("b", 1) == Kind::kNone);
  REQUIRE(journal.open("c", 1) == Kind::kNone);
  REQUIRE(journal.open("d", 1) == Kind::kStorageFull);
  // Running programs go on.
  REQUIRE(journal.admit("a", 1, "k", 1) == Kind::kNone);
}

TEST_CASE("a snapshot restores the state", "[program]") {
  Journal journal;
  journal.open("p", 100);
  journal.run("p", 1, "a");
  Journal copy;
  copy.state.restore(journal.state.snapshot());
  REQUIRE(copy.state.snapshot() == journal.state.snapshot());
  REQUIRE(copy.state.state_bytes() == journal.state.state_bytes());
  REQUIRE(program::SlotState::verified_history(*copy.state.find("p")).size() == 1);
}

TEST_CASE("a history that does not match its digest chain is never served", "[program]") {
  Journal journal;
  journal.open("p", 100);
  journal.run("p", 1, "a");
  auto record = *journal.state.find("p");
  record.calls.front().outcome.result = "somebody else's result";
  REQUIRE_THROWS_AS(program::SlotState::verified_history(record), std::runtime_error);
}
