#include "balancing/recent_runs.hpp"

#include <catch2/catch.hpp>

#include "balancing/engine_registry.hpp"

using namespace sailgate;
using balancing::RecentRuns;

namespace {

const net::TimePoint kStart{net::Millis(1'000'000)};
constexpr net::Millis kLater{500};

}  // namespace

TEST_CASE("the first time of a run stays", "[balancing]") {
  RecentRuns runs(2);
  runs.add("a", kStart);
  runs.add("a", kStart + kLater);
  REQUIRE(runs.time_of("a") == kStart);
}

TEST_CASE("too many runs drop the one that was added first", "[balancing]") {
  RecentRuns runs(2);
  runs.add("a", kStart);
  runs.add("b", kStart);
  runs.add("c", kStart);
  REQUIRE_FALSE(runs.contains("a"));
  REQUIRE(runs.contains("b"));
  REQUIRE(runs.contains("c"));
}

TEST_CASE("a run that was erased and added again is the newest", "[balancing]") {
  RecentRuns runs(2);
  runs.add("a", kStart);
  runs.add("b", kStart);
  runs.erase("a");
  REQUIRE_FALSE(runs.time_of("a").has_value());
  runs.add("a", kStart + kLater);
  runs.add("c", kStart);
  REQUIRE(runs.time_of("a") == kStart + kLater);
  REQUIRE_FALSE(runs.contains("b"));
}

TEST_CASE("runs that left before newer ones took their place are forgotten in time",
          "[balancing]") {
  constexpr int kRuns = 10'000;
  balancing::EngineRegistry engines;
  const auto run = [](int start) {
    balancing::EngineRecord record;
    record.name = "e";
    record.id = balancing::run_id("e", start);
    record.started_ms = start;
    record.service = "app";
    return record;
  };
  for (int start = 0; start < kRuns; ++start) {
    engines.put(run(start));
    engines.remove("e");
  }
  REQUIRE(engines.gone_at(run(kRuns - 1).id).has_value());
  REQUIRE_FALSE(engines.gone_at(run(0).id).has_value());
}
