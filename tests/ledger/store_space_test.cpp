/// @file Space that turns and budgets take in the store over minutes and up to an hour of load.
///
/// Guards against a store that fills up and stays full. A fleet of 84 nodes served all programs for
/// about 80 s (a third longer at a lower load) and then none at all. After a restart of all
/// processes it served for six seconds and stopped again. Each turn's row repeated up to 16 KB of
/// its chain, rows were kept for twice the retention, and no process removed any rows in its first
/// 180 s. After about 39,000 turns the store reached its capacity of 400 MB and refused all writes,
/// while reads still worked. Turns ran on engines but could not be stored. Each refused write was
/// retried in other partitions and through peers, until the store also refused calls above its rate
/// limits. A restart freed no space.
///
/// The logs showed that from one second on all writes failed, as many per second as the store
/// accepts, while reads succeeded; the first call above the rate limits came two seconds later. A
/// run without any faults ended the same way, with status "full" on the refused writes. These tests
/// reproduce the load alone.
#include <fcntl.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <memory>
#include <vector>

#include "base/random.hpp"
#include "ledger/expiry_sweeper.hpp"
#include "ledger/program_ledger.hpp"
#include "ledger/sweep_schedule.hpp"
#include "store/row_parts.hpp"
#include "support/memory_table.hpp"
#include "support/run.hpp"

using namespace sailgate;
using ledger::ExpirySweeper;
using ledger::ProgramLedger;
using ledger::ReserveOutcome;
using ledger::Turn;
using test::MemoryTable;
using test::run;

namespace {

/// The platform's store holds 400 MB. Values are sent to it in base64 and may be stored in that
/// form, which leaves 300 MB.
constexpr std::size_t kStoreCapacityBytes = 300'000'000;
constexpr net::Millis kRetention{60'000};
constexpr std::int64_t kSecondMs = 1000;

/// The load of lamta-field-grown: 84 nodes, 415 turns per second.
struct Load {
  std::size_t scale = 20;  ///< the simulation runs 1/scale of the programs and of the capacity
  std::int64_t seconds = 180;
  double turns_per_second = 415;
  std::size_t first_input = 14'300;  ///< a shared prompt and the caller's own text
  std::size_t later_input = 1'300;
  std::size_t output = 1'450;  ///< six events of 240 bytes
  std::size_t turns = 5;       ///< per program
  double burst = 2.5;          ///< load factor for 9 s of every 60 s
};

/// A fleet in simulated time: nodes that write turns and budgets, and a sweeper that does the work
/// of all nodes.
class SpaceFleet {
 public:
  explicit SpaceFleet(const Load& load) : load_(load), random_(1) {
    table_.set_capacity(kStoreCapacityBytes / load.scale);
    // The sweeper runs at the rate of a fleet of 84 nodes, however many nodes the test simulates.
    for (std::int64_t node = 1; node <= kNodes; ++node) {
      ledgers_.push_back(std::make_unique<ProgramLedger>(context_, table_, clock_, log_, node));
    }
    sweeper_ = std::make_unique<ExpirySweeper>(
        context_, table_, clock_, log_, [] { return std::size_t{1}; }, [] { return false; }, 7);
  }

  void run_load() {
    double due = 0;
    for (std::int64_t second = 0; second < load_.seconds; ++second) {
      set_time(kStartMs + second * kSecondMs);
      const bool burst = second % 60 >= 50 && second % 60 < 59;
      due += load_.turns_per_second * (burst ? load_.burst : 1) / static_cast<double>(load_.scale);
      for (; due >= 1; due -= 1) run_turn();
      sweep();
      peak_bytes_ = std::max(peak_bytes_, table_.bytes());
      bytes_after_.push_back(table_.bytes());
      table_.forget_history();
    }
  }

  int turns() const { return turns_; }
  int lost() const { return lost_; }
  double peak_space() const { return share(peak_bytes_); }
  /// Share of the capacity in use after this many seconds of load.
  double space_after(std::size_t seconds) const { return share(bytes_after_.at(seconds)); }
  double space_now() const { return share(table_.bytes()); }

 private:
  struct Program {
    std::string id;
    ledger::TurnPointer last;
    std::size_t turns = 0;
  };

  static constexpr std::int64_t kNodes = 4;
  static constexpr std::int64_t kStartMs = 1'000'000;
  static constexpr std::int64_t kBudget = 6'000;
  static constexpr std::int64_t kTurnTokens = 588;

  double share(std::size_t bytes) const {
    return static_cast<double>(bytes) * static_cast<double>(load_.scale) / kStoreCapacityBytes;
  }

  void set_time(std::int64_t now) {
    table_.set_now(now);
    clock_.observe(now, net::Clock::now());
  }

  std::string text(std::size_t size) {
    std::string bytes(size, '\0');
    for (auto& byte : bytes) byte = static_cast<char>(random_.below(256));
    return bytes;
  }

  void run_turn() {
    // Each program runs about one turn per second.
    const auto max_active =
        std::max(1.0, load_.turns_per_second / static_cast<double>(load_.scale));
    if (static_cast<double>(active_programs_.size()) < max_active)
      active_programs_.push_back({"p" + std::to_string(programs_started_++), {}});
    auto program = std::move(active_programs_.front());
    active_programs_.pop_front();
    auto& ledger =
        *ledgers_[static_cast<std::size_t>(programs_started_ + turns_) % ledgers_.size()];
    const auto deadline = net::Clock::now() + net::Millis(20);
    const auto reserved =
        run(context_, ledger.budgets.reserve(program.id, kTurnTokens, kBudget, deadline));
    if (reserved == ReserveOutcome::kReserved) {
      ledger.budgets.settle(program.id, kTurnTokens, kTurnTokens / 2);
    }
    const auto input = program.turns == 0 ? load_.first_input : load_.later_input;
    const auto id = program.id + "/" + std::to_string(program.turns);
    auto turn =
        std::make_shared<const Turn>(Turn{id, text(input), text(load_.output), program.last});
    const bool stored = run(context_, ledger.turns.record(turn, kRetention, deadline));
    ++turns_;
    if (!stored) ++lost_;
    program.last = stored ? std::move(turn) : program.last;
    if (++program.turns < load_.turns) active_programs_.push_back(std::move(program));
  }

  /// Performs the sweeps of all nodes of a fleet within one second.
  void sweep() {
    const auto pause = ledger::SweepSchedule::pause(1, store::partition_count(), false);
    sweeps_due_ += static_cast<double>(kSecondMs) / static_cast<double>(pause.count());
    for (; sweeps_due_ >= 1; sweeps_due_ -= 1) {
      run(context_,
          sweeper_->sweep_part(store::partition_name(random_.below(store::partition_count()))));
    }
  }

  Load load_;
  base::Random random_;
  net::asio::io_context context_;
  observe::StructuredLog log_{::open("/dev/null", O_WRONLY)};
  MemoryTable table_{context_};
  store::StoreClock clock_;
  std::vector<std::unique_ptr<ProgramLedger>> ledgers_;
  std::unique_ptr<ExpirySweeper> sweeper_;
  std::deque<Program> active_programs_;
  std::size_t peak_bytes_ = 0;
  std::vector<std::size_t> bytes_after_;  ///< one entry per second
  double sweeps_due_ = 0;
  int programs_started_ = 0;
  int turns_ = 0;
  int lost_ = 0;
};

}  // namespace

TEST_CASE("the store keeps every turn of three minutes of load and of bursts", "[space]") {
  SpaceFleet fleet({});
  fleet.run_load();
  INFO("peak share of the capacity " << fleet.peak_space() << ", turns " << fleet.turns());
  REQUIRE(fleet.lost() == 0);
  REQUIRE(fleet.peak_space() < 1);
}

TEST_CASE("what three minutes of load keep does not grow in the last of them", "[space]") {
  Load load;
  load.burst = 1;
  SpaceFleet fleet(load);
  fleet.run_load();
  INFO("share of the capacity after two minutes " << fleet.space_after(120) << ", at the end "
                                                  << fleet.space_now());
  REQUIRE(fleet.lost() == 0);
  REQUIRE(fleet.space_now() < fleet.space_after(120) * 1.1);
}

TEST_CASE("what an hour of load keeps does not grow", "[space]") {
  Load load;
  load.scale = 400;
  load.seconds = 3'600;
  load.burst = 1;
  SpaceFleet fleet(load);
  fleet.run_load();
  INFO("share of the capacity halfway " << fleet.space_after(1'800) << ", at the end "
                                        << fleet.space_now());
  REQUIRE(fleet.lost() == 0);
  REQUIRE(fleet.space_now() < fleet.space_after(1'800) * 1.1);
}

TEST_CASE("a full store is not asked again in other parts", "[space]") {
  net::asio::io_context context;
  observe::StructuredLog log{::open("/dev/null", O_WRONLY)};
  MemoryTable table{context};
  store::StoreClock clock;
  ProgramLedger ledger(context, table, clock, log, 1);
  table.set_mode(MemoryTable::Mode::kFull);
  const auto deadline = net::Clock::now() + net::Millis(400);
  auto turn = std::make_shared<const Turn>(Turn{"turn", "input", "output\n", nullptr});
  REQUIRE_FALSE(run(context, ledger.turns.record(turn, kRetention, deadline)));
  REQUIRE(table.writes() == 1);
  REQUIRE(run(context, ledger.budgets.reserve("program", 100, 1000, deadline)) ==
          ReserveOutcome::kUnavailable);
  REQUIRE(table.writes() == 2);
}
