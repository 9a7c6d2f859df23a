#include "cluster/engine_loads.hpp"

#include <catch2/catch.hpp>

#include "cluster/beacon_sender.hpp"

using namespace sailgate;

TEST_CASE("loads of several nodes are summed by engine", "[cluster]") {
  cluster::EngineLoads loads;
  loads.add({{cluster::engine_key("a"), 2}, {cluster::engine_key("b"), 1}});
  loads.add({{cluster::engine_key("a"), 3}});
  REQUIRE(loads.at("a") == 5);
  REQUIRE(loads.at("b") == 1);
  REQUIRE(loads.at("c") == 0);
}

TEST_CASE("among a hundred nodes loads are at most a third of a second old", "[cluster]") {
  // NOTE: an engine works on a turn for about 0.25 s, so much older loads describe other turns.
  REQUIRE(cluster::BeaconSender::round_time(12) <= net::Millis(200));
  REQUIRE(cluster::BeaconSender::round_time(100) <= net::Millis(333));
}
