#include "readiness/fleet_view.hpp"

#include <catch2/catch.hpp>

using namespace sailgate;
using net::Millis;

namespace {

const net::TimePoint kStart{std::chrono::hours(1)};
constexpr Millis kSilence{1000};

void put(cluster::PeerDirectory& directory, std::int64_t incarnation, const std::string& zone) {
  wire::PeerRow row;
  row.incarnation = incarnation;
  row.zone = zone;
  row.address = "127.0.0.1";
  row.port = 1;
  directory.put("node-" + std::to_string(incarnation), row, kStart);
}

void hear(cluster::PeerDirectory& directory, std::int64_t incarnation, net::TimePoint at,
          bool reaches_store, bool aside = false) {
  wire::Beacon beacon;
  beacon.incarnation = incarnation;
  beacon.reaches_store = reaches_store;
  if (aside) beacon.__set_steps_aside(true);
  directory.on_beacon(beacon, at);
}

}  // namespace

TEST_CASE("what peers told is counted by zone; rows alone are no sign of life", "[readiness]") {
  cluster::PeerDirectory directory("self", "a");
  for (int i = 1; i <= 3; ++i) put(directory, i, "a");
  for (int i = 11; i <= 14; ++i) put(directory, i, i < 13 ? "b" : "c");
  hear(directory, 1, kStart, true);
  hear(directory, 2, kStart + Millis(900), false, true);
  hear(directory, 11, kStart + Millis(400), true);
  hear(directory, 13, kStart + Millis(700), false);
  const auto view = readiness::build_readiness_view(directory, kStart + Millis(1200), kSilence);
  REQUIRE(view.own_zone.known == 2);
  REQUIRE(view.own_zone.heard == 1);
  REQUIRE(view.own_zone.reach_store == 0);
  REQUIRE(view.own_zone.step_aside == 1);
  REQUIRE(view.other_zones.known == 2);
  REQUIRE(view.other_zones.heard == 2);
  REQUIRE(view.other_zones.reach_store == 1);
  REQUIRE(view.other_zones.last_heard_age == Millis(500));
  const auto signs = readiness::last_heard_by_zone(directory);
  REQUIRE(signs.size() == 2);
  REQUIRE(signs.at("b") == kStart + Millis(400));
}
