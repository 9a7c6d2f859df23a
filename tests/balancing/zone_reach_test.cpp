#include "balancing/zone_reach.hpp"

#include <catch2/catch.hpp>

#include "balancing/engine_selector.hpp"
#include "base/random.hpp"

using namespace sailgate;
using balancing::ZoneReachability;
using net::Millis;

namespace {

const net::TimePoint kStart{std::chrono::hours(1)};
constexpr Millis kTick{100};

}  // namespace

TEST_CASE("a zone that falls silent is not reachable within a second, until a sign of it",
          "[balancing]") {
  ZoneReachability reach;
  REQUIRE(reach.reachable("b", kStart));
  reach.record_contact("b", kStart);
  REQUIRE(reach.reachable("b", kStart + Millis(600)));
  REQUIRE_FALSE(reach.reachable("b", kStart + Millis(900)));
  REQUIRE(reach.reachable("c", kStart + Millis(900)));
  reach.record_contact("b", kStart + Millis(950));
  REQUIRE(reach.reachable("b", kStart + Millis(1000)));
}

TEST_CASE("old signs do not make a zone older", "[balancing]") {
  ZoneReachability reach;
  reach.record_contact("b", kStart + Millis(500));
  reach.record_contact("b", kStart);
  REQUIRE(reach.reachable("b", kStart + Millis(1100)));
}

TEST_CASE("a connection is tried before a zone counts as silent, and then again and again",
          "[balancing]") {
  ZoneReachability reach;
  REQUIRE_FALSE(reach.should_probe("b", kStart));
  reach.record_contact("b", kStart);
  int tries = 0;
  net::TimePoint first{};
  for (auto now = kStart; now < kStart + Millis(5400); now += kTick) {
    if (!reach.should_probe("b", now)) continue;
    if (tries++ == 0) first = now;
  }
  REQUIRE(first == kStart + Millis(600));
  REQUIRE(reach.reachable("b", first));
  REQUIRE(tries == 8);
}

TEST_CASE("a zone without nodes whose engines take connections stays in use", "[balancing]") {
  ZoneReachability reach;
  reach.record_contact("b", kStart);
  for (auto now = kStart; now < kStart + Millis(60'000); now += kTick) {
    if (reach.should_probe("b", now)) reach.record_contact("b", now + Millis(3));
    REQUIRE(reach.reachable("b", now));
  }
}

TEST_CASE("engines of a silent zone come last, not never", "[balancing]") {
  balancing::EngineRegistry registry;
  const auto engine = [](const std::string& id, const std::string& zone) {
    balancing::EngineRecord record;
    record.id = id;
    record.service = "app";
    record.zone = zone;
    record.slots = 4;
    return record;
  };
  registry.put(engine("near", "a"));
  registry.put(engine("far", "b"));
  registry.find("near")->in_flight = 4;
  balancing::SelectionQuery query;
  query.service = "app";
  query.zone = "a";
  query.line_engine = "far";
  query.now = kStart;
  REQUIRE(balancing::select_engine(registry, query)->record.id == "far");
  registry.find("far")->zone_silent = true;
  REQUIRE(balancing::select_engine(registry, query)->record.id == "near");
  query.excluded = {"near"};
  REQUIRE(balancing::select_engine(registry, query)->record.id == "far");
}
