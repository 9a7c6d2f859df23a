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
constexpr std::int64_t kTurn = 300;
/// What an owner may spend of such a budget without a row.
constexpr std::int64_t kEscrow = kBudget / 2;

/// One process; the test says which shards it should claim and who lives.
struct Process {
  Process(net::asio::io_context& context, MemoryTable& table, observe::StructuredLog& log,
          std::int64_t holder, const std::set<std::int64_t>& living)
      : ledger(context, table, clock, log, holder) {
    clock.observe(1000, net::Clock::now());
    ledger::EscrowPeers peers;
    peers.unowned = [this] { return unowned; };
    peers.is_alive = [&living](std::int64_t id) { return living.count(id) > 0; };
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
  std::set<std::int64_t> living;
  const std::string program = "program";
  const int shard = ledger::escrow_shard_of(program);
  Process first{context, table, log, 1, living};
  Process second{context, table, log, 2, living};

  void finish(net::asio::awaitable<void> task) {
    bool done = false;
    net::asio::co_spawn(context, std::move(task), [&](std::exception_ptr) { done = true; });
    test::run_until(context, [&] { return done; });
  }
  /// One round in which the process finds its shards without an owner.
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

TEST_CASE_METHOD(Fixture, "programs begin and go on while the store is away", "[escrow]") {
  claim(first, {shard});
  const int writes = table.writes();
  table.set_mode(MemoryTable::Mode::kRefuses);
  REQUIRE(reserve(first, kTurn) == ReserveOutcome::kReserved);
  first.ledger.budgets.settle(program, kTurn, kEscrow - kTurn);
  REQUIRE(reserve(first, kTurn) == ReserveOutcome::kReserved);
  REQUIRE(table.writes() == writes);
  REQUIRE(reserve(first, 1) == ReserveOutcome::kUnavailable);
  REQUIRE(reserve(second, kTurn) == ReserveOutcome::kUnavailable);
}

TEST_CASE_METHOD(Fixture, "the owner spends the whole budget and no more", "[escrow]") {
  claim(first, {shard});
  REQUIRE(reserve(first, kTurn) == ReserveOutcome::kReserved);
  REQUIRE(reserve(first, kTurn) == ReserveOutcome::kReserved);
  REQUIRE(reserve(first, kTurn) == ReserveOutcome::kReserved);
  REQUIRE(reserve(first, 1) == ReserveOutcome::kExhausted);
}

TEST_CASE_METHOD(Fixture, "an owner and the others never exceed the budget and one turn",
                 "[escrow]") {
  claim(first, {shard});
  std::int64_t reserved = 0;
  for (int turn = 0; turn < 8; ++turn) {
    if (reserve(first, kTurn) == ReserveOutcome::kReserved) reserved += kTurn;
    if (reserve(second, kTurn) == ReserveOutcome::kReserved) reserved += kTurn;
  }
  REQUIRE(reserved >= kBudget);
  REQUIRE(reserved <= kBudget + kTurn);
}

TEST_CASE_METHOD(Fixture, "a shard that was handed over goes on from what was spent", "[escrow]") {
  claim(first, {shard});
  REQUIRE(reserve(first, kTurn) == ReserveOutcome::kReserved);
  first.ledger.budgets.settle(program, kTurn, 200);
  stop(first);
  REQUIRE_FALSE(first.ledger.escrow.owns(program));
  claim(second, {shard});
  table.set_mode(MemoryTable::Mode::kRefuses);
  REQUIRE(reserve(second, kEscrow - 200) == ReserveOutcome::kReserved);
  REQUIRE(reserve(second, 1) == ReserveOutcome::kUnavailable);
}

TEST_CASE_METHOD(Fixture, "spending is handed over through two owners", "[escrow]") {
  Process third{context, table, log, 3, living};
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
  // Of the escrow of 333 tokens for a turn of 200, nothing like a turn is left.
  REQUIRE(reserve(third, 200) == ReserveOutcome::kUnavailable);
}

TEST_CASE_METHOD(Fixture, "an owner that was lost leaves no escrow to its successor", "[escrow]") {
  claim(first, {shard});
  claim(second, {shard});
  REQUIRE(second.ledger.escrow.owns(program));
  REQUIRE_FALSE(second.ledger.escrow.may_spend(program));
  REQUIRE(second.ledger.escrow.bare_shards() ==
          std::vector<std::int16_t>{static_cast<std::int16_t>(shard)});
  // What the rows hold goes on.
  REQUIRE(reserve(second, kTurn) == ReserveOutcome::kReserved);
}

TEST_CASE_METHOD(Fixture, "a shard whose owner lives is left to it", "[escrow]") {
  living.insert(1);
  claim(first, {shard});
  claim(second, {shard});
  REQUIRE_FALSE(second.ledger.escrow.owns(program));
  REQUIRE(first.ledger.escrow.may_spend(program));
}

TEST_CASE_METHOD(Fixture, "a claim without an answer is not spent on", "[escrow]") {
  table.set_mode(MemoryTable::Mode::kLosesAnswers);
  claim(first, {shard});
  REQUIRE_FALSE(first.ledger.escrow.owns(program));
  table.set_mode(MemoryTable::Mode::kUp);
  claim(first, {shard});
  REQUIRE(first.ledger.escrow.may_spend(program));
}

TEST_CASE_METHOD(Fixture, "of two processes that claim at once one gets the shard", "[escrow]") {
  table.set_mode(MemoryTable::Mode::kLate);
  claim(first, {shard});
  table.set_mode(MemoryTable::Mode::kUp);
  claim(second, {shard});
  table.apply_late();
  REQUIRE(second.ledger.escrow.may_spend(program));
  living.insert(2);
  claim(first, {shard});
  REQUIRE_FALSE(first.ledger.escrow.owns(program));
}

TEST_CASE_METHOD(Fixture, "a process that stops claims nothing any more", "[escrow]") {
  claim(first, {shard});
  stop(first);
  claim(first, {shard});
  REQUIRE_FALSE(first.ledger.escrow.owns(program));
}
