#include "ledger/expiry_sweeper.hpp"

#include <fcntl.h>

#include <catch2/catch.hpp>

#include "ledger/program_ledger.hpp"
#include "store/row_parts.hpp"
#include "support/memory_table.hpp"
#include "support/run.hpp"

using namespace sailgate;
using ledger::ExpirySweeper;
using ledger::LookupOutcome;
using ledger::ProgramLedger;
using ledger::Turn;
using test::run;

namespace {

constexpr std::int64_t kStartMs = 1'000'000;
constexpr net::Millis kRetention{60'000};
/// A row is removed at most this long after its last write; the store's clock advances while a test
/// runs.
constexpr std::int64_t kRemovedAfterMs = 2 * 60'000 + 60'000;
/// Longer than any program lasts after the last write of its budget.
constexpr std::int64_t kBudgetRowTtlMs = 30 * 60'000;

struct Fixture {
  net::asio::io_context context;
  observe::StructuredLog log{::open("/dev/null", O_WRONLY)};
  test::MemoryTable table{context};
  store::StoreClock clock;
  ProgramLedger writer{context, table, clock, log, 1};
  ExpirySweeper sweeper{
      context, table, clock, log, [] { return std::size_t{1}; }, [] { return false; }, 1};

  Fixture() { set_time(kStartMs); }
  void set_time(std::int64_t now) {
    table.set_now(now);
    clock.observe(now, net::Clock::now());
  }
  void record(const ledger::TurnPointer& turn) {
    const auto deadline = net::Clock::now() + net::Millis(300);
    REQUIRE(run(context, writer.turns.record(turn, kRetention, deadline)));
  }
  /// Looks up a turn from a node that has nothing in memory.
  LookupOutcome find(const std::string& id) {
    ProgramLedger reader(context, table, clock, log, 2);
    return run(context, reader.turns.find(id, net::Clock::now() + net::Millis(300))).outcome;
  }
  std::size_t sweep() {
    std::size_t removed = 0;
    for (std::uint64_t part = 0; part < store::partition_count(); ++part) {
      removed += run(context, sweeper.sweep_part(store::partition_name(part)));
    }
    return removed;
  }
  static ledger::TurnPointer turn(const std::string& id, ledger::TurnPointer previous,
                                  std::size_t size = 10) {
    return std::make_shared<const Turn>(Turn{id, std::string(size, 'x'), "out\n", previous});
  }
};

}  // namespace

TEST_CASE("index keys sort by expiry time and can be decoded", "[ledger]") {
  const ledger::ExpiryEntry entry{1234, "turns", "a/b"};
  const auto key = ledger::encode_expiry_key(entry);
  REQUIRE(key < ledger::first_expiry_key(1235));
  REQUIRE(key > ledger::first_expiry_key(1234));
  const auto decoded = ledger::decode_expiry_key(key);
  REQUIRE(decoded->expires_at == 1234);
  REQUIRE(decoded->table == "turns");
  REQUIRE(decoded->key == "a/b");
  for (const auto* text :
       {"", "12", "0000000000001234", "000000000000123x/turns/a", "0000000000001234/turns"}) {
    CAPTURE(text);
    REQUIRE_FALSE(ledger::decode_expiry_key(text));
  }
}

TEST_CASE_METHOD(Fixture, "a turn is kept for its retention and removed afterwards", "[ledger]") {
  record(turn("1", nullptr));
  set_time(kStartMs + kRetention.count());
  REQUIRE(sweep() == 0);
  REQUIRE(find("1") == LookupOutcome::kFound);
  set_time(kStartMs + kRemovedAfterMs);
  REQUIRE(sweep() == 1);
  REQUIRE(find("1") == LookupOutcome::kAbsent);
  REQUIRE(table.size() == 0);
}

TEST_CASE_METHOD(Fixture, "a chain is kept for as long as its newest turn", "[ledger]") {
  // Turns half the size of a row: each one refers to the row of an earlier turn.
  ledger::TurnPointer last;
  for (int i = 0; i < 12; ++i) {
    set_time(kStartMs + i * kRetention.count() / 2);
    last = turn(std::to_string(i), last, 9000);
    record(last);
    sweep();
    CAPTURE(i);
    REQUIRE(find(std::to_string(i)) == LookupOutcome::kFound);
  }
  const auto end = kStartMs + 11 * kRetention.count() / 2;
  set_time(end + kRetention.count());
  sweep();
  REQUIRE(find("11") == LookupOutcome::kFound);
  set_time(end + kRemovedAfterMs);
  sweep();
  REQUIRE(table.size() == 0);
}

TEST_CASE_METHOD(Fixture, "a row that is rewritten during a sweep is not removed", "[ledger]") {
  const auto one = turn("1", nullptr);
  record(one);
  set_time(kStartMs + kRemovedAfterMs);
  record(one);
  REQUIRE(sweep() == 0);
  REQUIRE(find("1") == LookupOutcome::kFound);
  REQUIRE(table.size() == 2);  // the row and its newest index entry
}

TEST_CASE_METHOD(Fixture, "many expired rows of one partition are removed in several transactions",
                 "[ledger]") {
  constexpr int kTurns = 2000;
  for (int i = 0; i < kTurns; ++i) record(turn("t" + std::to_string(i), nullptr));
  set_time(kStartMs + kRemovedAfterMs);
  REQUIRE(sweep() == kTurns);
  REQUIRE(table.size() == 0);
}

TEST_CASE_METHOD(Fixture, "budgets of ended programs are removed", "[ledger]") {
  const auto deadline = net::Clock::now() + net::Millis(300);
  REQUIRE(run(context, writer.budgets.reserve("program", 100, 1000, deadline)) ==
          ledger::ReserveOutcome::kReserved);
  set_time(kStartMs + kBudgetRowTtlMs);
  REQUIRE(sweep() == 0);
  set_time(kStartMs + kBudgetRowTtlMs + kRemovedAfterMs);
  REQUIRE(sweep() == 1);
  REQUIRE(table.size() == 0);
}

TEST_CASE_METHOD(Fixture, "the budget of a program in use is kept", "[ledger]") {
  const auto deadline = net::Clock::now() + net::Millis(300);
  REQUIRE(run(context, writer.budgets.reserve("program", 100, 1000, deadline)) ==
          ledger::ReserveOutcome::kReserved);
  set_time(kStartMs + kBudgetRowTtlMs / 2);
  writer.budgets.evict_idle(net::Clock::now() + std::chrono::hours(1));
  test::run_until(context, [&] { return context.poll() == 0; });
  set_time(kStartMs + kBudgetRowTtlMs + kRemovedAfterMs);
  REQUIRE(sweep() == 0);
}

TEST_CASE_METHOD(Fixture, "nothing is removed while the store is unavailable", "[ledger]") {
  record(turn("1", nullptr));
  set_time(kStartMs + kRemovedAfterMs);
  table.set_mode(test::MemoryTable::Mode::kRefuses);
  REQUIRE(sweep() == 0);
  table.set_mode(test::MemoryTable::Mode::kLosesAnswers);
  REQUIRE(sweep() == 0);
}
