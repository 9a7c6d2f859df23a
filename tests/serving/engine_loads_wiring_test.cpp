#include <catch2/catch.hpp>

#include "cluster/engine_loads.hpp"
#include "support/gateway_fixture.hpp"

using namespace sailgate;
using test::GatewayFixture;
using test::run_until;

namespace {

wire::PeerRow row_of_peer() {
  wire::PeerRow row;
  row.incarnation = 9;
  row.zone = "zone";
  row.address = "127.0.0.1";
  row.port = 1;
  return row;
}

}  // namespace

TEST_CASE_METHOD(GatewayFixture, "the load of an engine follows its peers' reports up and down",
                 "[serving]") {
  start();
  auto& state = gateway->state();
  state.peers.put("node-2", row_of_peer(), net::Clock::now());
  const auto known = state.engines.find("e-1");
  wire::Beacon beacon;
  beacon.incarnation = 9;
  beacon.loads[cluster::engine_key("e-1")] = 5;
  state.peers.on_beacon(beacon, net::Clock::now());
  run_until(context, [&] { return known->peer_in_flight == 5; });
  beacon.loads.clear();
  state.peers.on_beacon(beacon, net::Clock::now());
  run_until(context, [&] { return known->peer_in_flight == 0; });
}

TEST_CASE_METHOD(GatewayFixture,
                 "an engine that fails for peers is probed again after their reports end",
                 "[serving]") {
  start();
  auto& state = gateway->state();
  state.peers.put("node-2", row_of_peer(), net::Clock::now());
  const auto known = state.engines.find("e-1");
  wire::Beacon beacon;
  beacon.incarnation = 9;
  beacon.__set_failures({{cluster::engine_key("e-1"), 8}});
  state.peers.on_beacon(beacon, net::Clock::now());
  // Whether this node or its peer probes the engine follows from the rendezvous order.
  const bool probes =
      !state.peers.home("e-1", net::Clock::now(), state.beacons.silence_limit()).has_value();
  if (!probes) run_until(context, [&] { return known->awaiting_probe; });
  beacon.__isset.failures = false;
  beacon.failures.clear();
  state.peers.on_beacon(beacon, net::Clock::now());
  run_until(context, [&] { return !known->awaiting_probe; });
}
