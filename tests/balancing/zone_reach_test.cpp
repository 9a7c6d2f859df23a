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

TEST_CASE("a zone becomes unreachable within a second without contact", "[balancing]") {
  ZoneReachability reachability;
  REQUIRE(reachability.reachable("b", kStart));
  reachability.record_contact("b", kStart);
  REQUIRE(reachability.reachable("b", kStart + Millis(600)));
  REQUIRE_FALSE(reachability.reachable("b", kStart + Millis(900)));
  REQUIRE(reachability.reachable("c", kStart + Millis(900)));
  reachability.record_contact("b", kStart + Millis(950));
  REQUIRE(reachability.reachable("b", kStart + Millis(1000)));
}

TEST_CASE("an older contact does not replace a newer one", "[balancing]") {
  ZoneReachability reachability;
  reachability.record_contact("b", kStart + Millis(500));
  reachability.record_contact("b", kStart);
  REQUIRE(reachability.reachable("b", kStart + Millis(1100)));
}

TEST_CASE("a zone is probed before it becomes unreachable and periodically afterwards",
          "[balancing]") {
  ZoneReachability reachability;
  REQUIRE_FALSE(reachability.should_probe("b", kStart));
  reachability.record_contact("b", kStart);
  int probes = 0;
  net::TimePoint first{};
  for (auto now = kStart; now < kStart + Millis(5400); now += kTick) {
    if (!reachability.should_probe("b", now)) continue;
    if (probes++ == 0) first = now;
  }
  REQUIRE(first == kStart + Millis(600));
  REQUIRE(reachability.reachable("b", first));
  REQUIRE(probes == 8);
}

TEST_CASE("a zone whose nodes are down stays in use while its engines accept connections",
          "[balancing]") {
  ZoneReachability reachability;
  reachability.record_contact("b", kStart);
  for (auto now = kStart; now < kStart + Millis(60'000); now += kTick) {
    if (reachability.should_probe("b", now)) reachability.record_contact("b", now + Millis(3));
    REQUIRE(reachability.reachable("b", now));
  }
}

TEST_CASE("engines of an unreachable zone rank last but stay eligible", "[balancing]") {
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
