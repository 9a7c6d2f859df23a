#include "program/family_rows.hpp"

#include <catch2/catch.hpp>

#include "simulation/in_memory_rows.hpp"

using namespace sailgate;
using Kind = wire::ErrorKind;
using program::FamilyState;

namespace {

constexpr base::Millis kNow = 1000;
constexpr std::int32_t kParts = 4;

const auto kRules = std::make_shared<program::ProgramRules>();

struct Fixture {
  program::FamilyRows rows{kParts};
  simulation::InMemoryRows table;
  FamilyState state{kRules};
  std::int64_t version = 0;

  void open(const std::string& id, const std::string& parent = "") {
    wire::ProgramOpened opened;
    opened.program = id;
    opened.parent = parent;
    opened.budget_tokens = parent.empty() ? 100'000 : 100;
    opened.call_limit = 10'000;
    REQUIRE(state.open(opened, kNow) == Kind::kNone);
  }
  Kind::type admit(const std::string& id, int sequence, const std::string& body) {
    wire::CallAdmitted call;
    call.program = id;
    call.sequence = sequence;
    call.request_key = std::string(40, 'k') + std::to_string(sequence);
    call.request_body = body;
    call.reserved_tokens = 1;
    return state.admit(call, kNow);
  }
  void finish(const std::string& id, int sequence, const std::string& result) {
    wire::AttemptStarted started;
    started.program = id;
    started.sequence = sequence;
    started.request_key = std::string(40, 'k') + std::to_string(sequence);
    started.attempt = sequence;
    REQUIRE(state.start(started, kNow) == Kind::kNone);
    wire::AttemptEnded ended;
    ended.program = id;
    ended.sequence = sequence;
    ended.attempt = sequence;
    ended.result = result;
    REQUIRE(state.end(ended, kNow) == Kind::kNone);
  }
  /// @return whether the state was stored.
  bool store() {
    const auto changes = rows.build_update("p", state, version, kNow);
    if (!changes) return false;
    const auto result = table.transact(*changes);
    REQUIRE(result.status == store::StoreStatus::kDone);
    version = result.version;
    state.mark_stored();
    return true;
  }
  program::StoredFamily load() {
    return rows.load("p", table.read(rows.family_range("p")).rows, kRules);
  }
};

}  // namespace

TEST_CASE_METHOD(Fixture, "a family is restored from its rows with all texts", "[program]") {
  open("p");
  open("p.c", "p");
  const std::string long_text(150'000, 'x');
  REQUIRE(admit("p", 1, "short") == Kind::kNone);
  REQUIRE(store());
  finish("p", 1, long_text);
  REQUIRE(store());
  REQUIRE(admit("p.c", 1, long_text) == Kind::kNone);
  REQUIRE(store());
  const auto loaded = load();
  REQUIRE(loaded.version == version);
  const auto* record = loaded.state->find("p");
  REQUIRE(FamilyState::verified_history(*record).front().result == long_text);
  REQUIRE(record->calls.front().call.request_body == "short");
  REQUIRE(loaded.state->find("p.c")->calls.front().call.request_body == long_text);
  REQUIRE(loaded.state->attempts_started() == 1);
}

TEST_CASE_METHOD(Fixture, "families whose ids share a prefix are kept apart", "[program]") {
  open("p");
  REQUIRE(store());
  FamilyState other(kRules);
  wire::ProgramOpened opened;
  opened.program = "p0";
  other.open(opened, kNow);
  REQUIRE(table.transact(*rows.build_update("p0", other, 0, kNow)).status ==
          store::StoreStatus::kDone);
  REQUIRE(load().state->programs().size() == 1);
}

TEST_CASE_METHOD(Fixture, "a write based on an outdated version is rejected", "[program]") {
  open("p");
  REQUIRE(store());
  REQUIRE(admit("p", 1, "a") == Kind::kNone);
  const auto outdated = rows.build_update("p", state, 0, kNow);
  REQUIRE(table.transact(*outdated).status == store::StoreStatus::kConflict);
  REQUIRE(load().state->find("p")->calls.empty());
}

TEST_CASE_METHOD(Fixture, "a full record accepts no new calls, but admitted calls can finish",
                 "[program]") {
  open("p");
  REQUIRE(store());
  int sequence = 1;
  while (true) {
    REQUIRE(admit("p", sequence, "q") == Kind::kNone);
    if (!store()) break;
    finish("p", sequence, "a");
    REQUIRE(store());
    ++sequence;
  }
  REQUIRE(sequence > 160);
  // The loop has checked that every stored call, including the last one, could finish.
  REQUIRE(load().state->find("p")->calls.size() == static_cast<std::size_t>(sequence - 1));
}

TEST_CASE_METHOD(Fixture, "a discarded call leaves no text rows", "[program]") {
  open("p");
  REQUIRE(admit("p", 1, "text") == Kind::kNone);
  REQUIRE(store());
  wire::AttemptStarted started;
  started.program = "p";
  started.sequence = 1;
  started.request_key = std::string(40, 'k') + "1";
  started.attempt = 1;
  REQUIRE(state.start(started, kNow) == Kind::kNone);
  wire::AttemptEnded ended;
  ended.program = "p";
  ended.sequence = 1;
  ended.attempt = 1;
  ended.outcome = wire::Outcome::kNotRun;
  REQUIRE(state.end(ended, kNow) == Kind::kNone);
  REQUIRE(store());
  REQUIRE(load().text_rows.empty());
}

TEST_CASE_METHOD(Fixture, "removal deletes every row, also of long histories", "[program]") {
  open("p");
  for (int sequence = 1; sequence <= 100; ++sequence) {
    REQUIRE(admit("p", sequence, "q") == Kind::kNone);
    finish("p", sequence, "a");
    REQUIRE(store());
  }
  int transactions = 0;
  while (table.size() > 0) {
    REQUIRE(table.transact(rows.build_removal("p", load())).status == store::StoreStatus::kDone);
    REQUIRE(++transactions < 10);
  }
}

TEST_CASE_METHOD(Fixture, "a partition lists the due times of its families", "[program]") {
  open("p");
  REQUIRE(store());
  const auto partition = std::stoi(rows.partition_of("p"));
  const auto due = table.read(rows.due_range(partition, "")).rows;
  REQUIRE(due.size() == 1);
  REQUIRE(due.front().id.key == "p");
  REQUIRE(program::FamilyRows::decode_due_time(due.front()) == kNow);
  REQUIRE(table.read(rows.due_range(partition, "p")).rows.empty());
}
