/// @file Calls that a node makes to a store that refuses calls above its rate limits.
///
/// Guards against retries that keep a store overloaded. After a loss of all nodes at two and a half
/// times the normal load, turns that continued from stored ones were refused 22 times within 15 s,
/// until their callers gave up. The fleet sent slightly more writes than the store accepts per
/// second. Each refused write was retried in the next partition at once (four writes for a turn's
/// row, three for a budget in each round), so the store continued to refuse writes for as long as
/// callers retried: 1,300 to 1,470 log lines per second of writes refused for the rate, from the
/// last second of the load until the end of the run 16 s later. Of 2,579 refused turns, 2,365 were
/// refused because no tokens could be reserved. The store itself worked correctly.
#include <fcntl.h>

#include <catch2/catch.hpp>

#include "ledger/program_ledger.hpp"
#include "support/memory_table.hpp"
#include "support/run.hpp"

using namespace sailgate;
using ledger::ProgramLedger;
using ledger::ReserveOutcome;
using ledger::Turn;
using test::MemoryTable;
using test::run;

namespace {

constexpr net::Millis kRetention{60'000};
constexpr net::Millis kTimeout{400};
/// One call per retry delay: delays start at 15 ms or more and double within the timeout above, and
/// there is one last attempt at the deadline.
constexpr int kMaxCalls = 7;

struct Fixture {
  net::asio::io_context context;
  observe::StructuredLog log{::open("/dev/null", O_WRONLY)};
  MemoryTable table{context};
  store::StoreClock clock;
  ProgramLedger ledger{context, table, clock, log, 1};

  Fixture() { table.set_mode(MemoryTable::Mode::kThrottles); }
  net::TimePoint deadline() const { return net::Clock::now() + kTimeout; }
};

}  // namespace

TEST_CASE_METHOD(Fixture,
                 "a turn's row is written once per retry delay while the store throttles writes",
                 "[ledger][rates]") {
  auto turn = std::make_shared<const Turn>(Turn{"turn", "input", "output\n", nullptr});
  REQUIRE_FALSE(run(context, ledger.turns.record(turn, kRetention, deadline())));
  REQUIRE(table.writes() <= kMaxCalls);
}

TEST_CASE_METHOD(Fixture,
                 "a budget row is written once per retry delay while the store throttles writes",
                 "[ledger][rates]") {
  REQUIRE(run(context, ledger.budgets.reserve("program", 100, 1000, deadline())) ==
          ReserveOutcome::kUnavailable);
  REQUIRE(table.writes() <= kMaxCalls);
}

TEST_CASE_METHOD(Fixture,
                 "a budget is released once per retry delay while the store throttles writes",
                 "[ledger][rates]") {
  table.set_mode(MemoryTable::Mode::kUp);
  REQUIRE(run(context, ledger.budgets.reserve("program", 100, 1000, deadline())) ==
          ReserveOutcome::kReserved);
  const int before = table.writes();
  table.set_mode(MemoryTable::Mode::kThrottles);
  const auto released = run(context, ledger.budgets.release("program", deadline()));
  REQUIRE_FALSE(released.complete);
  REQUIRE(table.writes() - before <= kMaxCalls);
}

TEST_CASE_METHOD(Fixture, "a turn's row is stored as soon as the store accepts writes again",
                 "[ledger][rates]") {
  auto turn = std::make_shared<const Turn>(Turn{"turn", "input", "output\n", nullptr});
  net::asio::steady_timer timer(context, net::Millis(100));
  timer.async_wait([this](net::Error) { table.set_mode(MemoryTable::Mode::kUp); });
  REQUIRE(run(context, ledger.turns.record(turn, kRetention, deadline())));
}
