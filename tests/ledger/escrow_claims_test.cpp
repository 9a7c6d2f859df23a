#include "ledger/escrow_claims.hpp"

#include <fcntl.h>

#include <catch2/catch.hpp>
#include <set>

#include "ledger/program_ledger.hpp"
#include "support/memory_table.hpp"
#include "support/run.hpp"

using namespace sailgate;
using ledger::ProgramLedger;
using ledger::ReserveOutcome;
using test::MemoryTable;

namespace {

constexpr std::int64_t kBudget = 900;
constexpr std::int64_t kTurnTokens = 300;
/// Tokens of this budget that an owner may spend without a budget row.
constexpr std::int64_t kEscrow = kBudget / 2;

/// One process; the test sets which shards it should claim and which processes are alive.
struct Process {
  Process(net::asio::io_context& context, MemoryTable& table, observe::StructuredLog& log,
          std::int64_t holder, const std::set<std::int64_t>& live_processes)
      : ledger(context, table, clock, log, holder) {
    clock.observe(1000, net::Clock::now());
    ledger::EscrowPeers peers;
    peers.unowned = [this] { return unowned; };
    peers.is_alive = [&live_processes](std::int64_t id) { return live_processes.count(id) > 0; };
    ledger.escrow.enable(std::move(peers));
  }

  store::StoreClock clock;
  ProgramLedger ledger;
  std::vector<int> unowned;
};

struct Fixture {
  net::asio::io_context context;
  observe::StructuredLog log{::open("/dev/null", O_WRONLY)};
  MemoryTable table{context};
  std::set<std::int64_t> live_processes;
  const std::string program = "program";
  const int shard = ledger::escrow_shard_of(program);
  Process first{context, table, log, 1, live_processes};
  Process second{context, table, log, 2, live_processes};

  void finish(net::asio::awaitable<void> task) {
    bool done = false;
    net::asio::co_spawn(context, std::move(task), [&](std::exception_ptr) { done = true; });
    test::run_until(context, [&] { return done; });
  }
  /// Runs one iteration of claims in which the process finds that the shards have no owner.
  void claim(Process& process, std::vector<int> shards) {
    process.unowned = std::move(shards);
    finish(process.ledger.escrow.claim_and_renew());
    process.unowned.clear();
  }
  ReserveOutcome reserve(Process& process, std::int64_t tokens) {
    const auto deadline = net::Clock::now() + net::Millis(60);
    return test::run(context, process.ledger.budgets.reserve(program, tokens, kBudget, deadline));
  }
  void stop(Process& process) {
    finish(process.ledger.escrow.hand_over(process.ledger.budgets.escrow_spent(),
                                           net::Clock::now() + net::Millis(100)));
  }
};

}  // namespace

TEST_CASE_METHOD(Fixture, "programs start and continue while the store is unavailable",
                 "[escrow]") {
  claim(first, {shard});
  const int writes = table.writes();
  table.set_mode(MemoryTable::Mode::kRefuses);
  REQUIRE(reserve(first, kTurnTokens) == ReserveOutcome::kReserved);
  first.ledger.budgets.settle(program, kTurnTokens, kEscrow - kTurnTokens);
  REQUIRE(reserve(first, kTurnTokens) == ReserveOutcome::kReserved);
  REQUIRE(table.writes() == writes);
  REQUIRE(reserve(first, 1) == ReserveOutcome::kUnavailable);
  REQUIRE(reserve(second, kTurnTokens) == ReserveOutcome::kUnavailable);
}

TEST_CASE_METHOD(Fixture, "the owner can spend the whole budget and no more", "[escrow]") {
  claim(first, {shard});
  REQUIRE(reserve(first, kTurnTokens) == ReserveOutcome::kReserved);
  REQUIRE(reserve(first, kTurnTokens) == ReserveOutcome::kReserved);
  REQUIRE(reserve(first, kTurnTokens) == ReserveOutcome::kReserved);
  REQUIRE(reserve(first, 1) == ReserveOutcome::kExhausted);
}

TEST_CASE_METHOD(
    Fixture, "an owner and other processes together never exceed the budget by more than one turn",
    "[escrow]") {
  claim(first, {shard});
  std::int64_t reserved = 0;
  for (int turn = 0; turn < 8; ++turn) {
    if (reserve(first, kTurnTokens) == ReserveOutcome::kReserved) reserved += kTurnTokens;
    if (reserve(second, kTurnTokens) == ReserveOutcome::kReserved) reserved += kTurnTokens;
  }
  REQUIRE(reserved >= kBudget);
  REQUIRE(reserved <= kBudget + kTurnTokens);
}

TEST_CASE_METHOD(Fixture,
                 "the next owner of a shard that was handed over accounts for what was spent",
                 "[escrow]") {
  claim(first, {shard});
  REQUIRE(reserve(first, kTurnTokens) == ReserveOutcome::kReserved);
  first.ledger.budgets.settle(program, kTurnTokens, 200);
  stop(first);
  REQUIRE_FALSE(first.ledger.escrow.owns(program));
  claim(second, {shard});
  table.set_mode(MemoryTable::Mode::kRefuses);
  REQUIRE(reserve(second, kEscrow - 200) == ReserveOutcome::kReserved);
  REQUIRE(reserve(second, 1) == ReserveOutcome::kUnavailable);
}

TEST_CASE_METHOD(Fixture, "spending records survive two handovers", "[escrow]") {
  Process third{context, table, log, 3, live_processes};
  claim(first, {shard});
  REQUIRE(reserve(first, 200) == ReserveOutcome::kReserved);
  stop(first);
  claim(second, {shard});
  table.set_mode(MemoryTable::Mode::kRefuses);
  REQUIRE(reserve(second, 200) == ReserveOutcome::kReserved);
  table.set_mode(MemoryTable::Mode::kUp);
  stop(second);
  claim(third, {shard});
  table.set_mode(MemoryTable::Mode::kRefuses);
  REQUIRE(third.ledger.escrow.owns(program));
  REQUIRE(third.ledger.escrow.may_spend(program));
  REQUIRE(third.ledger.escrow.previously_spent(program) == 2 * 200);
  // The escrow for a turn of 200 tokens is 333 tokens; what remains of it is too small for a turn.
  REQUIRE(reserve(third, 200) == ReserveOutcome::kUnavailable);
}

TEST_CASE_METHOD(Fixture, "the successor of a lost owner has no escrow", "[escrow]") {
  claim(first, {shard});
  claim(second, {shard});
  REQUIRE(second.ledger.escrow.owns(program));
  REQUIRE_FALSE(second.ledger.escrow.may_spend(program));
  REQUIRE(second.ledger.escrow.bare_shards() ==
          std::vector<std::int16_t>{static_cast<std::int16_t>(shard)});
  // The tokens in the budget rows can still be used.
  REQUIRE(reserve(second, kTurnTokens) == ReserveOutcome::kReserved);
}

TEST_CASE_METHOD(Fixture, "a shard whose owner is alive is not claimed", "[escrow]") {
  live_processes.insert(1);
  claim(first, {shard});
  claim(second, {shard});
  REQUIRE_FALSE(second.ledger.escrow.owns(program));
  REQUIRE(first.ledger.escrow.may_spend(program));
}

TEST_CASE_METHOD(Fixture, "a claim whose write got no response gives no escrow", "[escrow]") {
  table.set_mode(MemoryTable::Mode::kLosesAnswers);
  claim(first, {shard});
  REQUIRE_FALSE(first.ledger.escrow.owns(program));
  table.set_mode(MemoryTable::Mode::kUp);
  claim(first, {shard});
  REQUIRE(first.ledger.escrow.may_spend(program));
}

TEST_CASE_METHOD(Fixture, "only one of two concurrent claims of a shard succeeds", "[escrow]") {
  table.set_mode(MemoryTable::Mode::kLate);
  claim(first, {shard});
  table.set_mode(MemoryTable::Mode::kUp);
  claim(second, {shard});
  table.apply_late();
  REQUIRE(second.ledger.escrow.may_spend(program));
  live_processes.insert(2);
  claim(first, {shard});
  REQUIRE_FALSE(first.ledger.escrow.owns(program));
}

TEST_CASE_METHOD(Fixture, "a process that is stopping claims no shards", "[escrow]") {
  claim(first, {shard});
  stop(first);
  claim(first, {shard});
  REQUIRE_FALSE(first.ledger.escrow.owns(program));
}
