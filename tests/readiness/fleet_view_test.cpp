#include "readiness/fleet_view.hpp"

#include <catch2/catch.hpp>

using namespace sailgate;
using net::Millis;

namespace {

const net::TimePoint kStart{std::chrono::hours(1)};
constexpr Millis kSilence{1000};

void add_row(cluster::PeerDirectory& directory, std::int64_t incarnation, const std::string& zone) {
  wire::PeerRow row;
  row.incarnation = incarnation;
  row.zone = zone;
  row.address = "127.0.0.1";
  row.port = 1;
  directory.put("node-" + std::to_string(incarnation), row, kStart);
}

void receive_beacon(cluster::PeerDirectory& directory, std::int64_t incarnation, net::TimePoint at,
                    bool reaches_store, bool aside = false) {
  wire::Beacon beacon;
  beacon.incarnation = incarnation;
  beacon.reaches_store = reaches_store;
  if (aside) beacon.__set_steps_aside(true);
  directory.on_beacon(beacon, at);
}

}  // namespace

TEST_CASE("peers are counted by zone once they have sent a beacon; rows alone do not count",
          "[readiness]") {
  cluster::PeerDirectory directory("self", "a");
  for (int i = 1; i <= 3; ++i) add_row(directory, i, "a");
  for (int i = 11; i <= 14; ++i) add_row(directory, i, i < 13 ? "b" : "c");
  receive_beacon(directory, 1, kStart, true);
  receive_beacon(directory, 2, kStart + Millis(900), false, true);
  receive_beacon(directory, 11, kStart + Millis(400), true);
  receive_beacon(directory, 13, kStart + Millis(700), false);
  const auto view = readiness::build_readiness_view(directory, kStart + Millis(1200), kSilence);
  REQUIRE(view.own_zone.known == 2);
  REQUIRE(view.own_zone.heard == 1);
  REQUIRE(view.own_zone.reach_store == 0);
  REQUIRE(view.own_zone.step_aside == 1);
  REQUIRE(view.other_zones.known == 2);
  REQUIRE(view.other_zones.heard == 2);
  REQUIRE(view.other_zones.reach_store == 1);
  REQUIRE(view.other_zones.last_heard_age == Millis(500));
  const auto last_heard = readiness::last_heard_by_zone(directory);
  REQUIRE(last_heard.size() == 2);
  REQUIRE(last_heard.at("b") == kStart + Millis(400));
}
