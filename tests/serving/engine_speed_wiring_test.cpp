#include <catch2/catch.hpp>

#include "cluster/engine_loads.hpp"
#include "support/gateway_fixture.hpp"

using namespace sailgate;
using test::GatewayFixture;
using test::run_until;

namespace {

constexpr int kRequests = 14;

}  // namespace

TEST_CASE_METHOD(GatewayFixture, "a beacon contains the measured speeds of recently used engines",
                 "[serving]") {
  start();
  engine.set_script(
      [](const auto& request) { return test::EngineReply{test::engine_answer(request, "body")}; });
  REQUIRE_FALSE(gateway->state().beacon(7).__isset.speeds);
  for (int i = 0; i < kRequests; ++i) REQUIRE(ask(request("POST", "/unsafe/x")).status == 200);
  const auto beacon = gateway->state().beacon(7);
  REQUIRE(beacon.__isset.speeds);
  const auto& reported = beacon.speeds.at(cluster::engine_key("e-1"));
  REQUIRE(reported.samples > 0);
  REQUIRE(reported.permille >= balancing::kMinPermille);
  REQUIRE(reported.permille <= balancing::kMaxPermille);
}

TEST_CASE_METHOD(GatewayFixture, "unsuccessful responses do not count as speed measurements",
                 "[serving]") {
  start();
  engine.set_script([](const auto& request) {
    return test::EngineReply{test::engine_answer(request, "fault", "", 500)};
  });
  for (int i = 0; i < kRequests; ++i) REQUIRE(ask(request("POST", "/unsafe/x")).status == 500);
  REQUIRE_FALSE(gateway->state().beacon(7).__isset.speeds);
}

TEST_CASE_METHOD(GatewayFixture, "with the mechanism off no speeds are measured or sent",
                 "[serving]") {
  settings.mechanisms.speeds = false;
  start();
  engine.set_script(
      [](const auto& request) { return test::EngineReply{test::engine_answer(request, "body")}; });
  for (int i = 0; i < kRequests; ++i) REQUIRE(ask(request("POST", "/unsafe/x")).status == 200);
  REQUIRE_FALSE(gateway->state().beacon(7).__isset.speeds);
}

TEST_CASE_METHOD(GatewayFixture, "a node uses its peers' measurements of an engine's speed",
                 "[serving]") {
  start();
  wire::PeerRow row;
  row.incarnation = 9;
  row.zone = "zone";
  row.address = "127.0.0.1";
  row.port = 1;
  auto& state = gateway->state();
  state.peers.put("node-2", row, net::Clock::now());
  wire::Beacon beacon;
  beacon.incarnation = 9;
  wire::EngineSpeed speed;
  speed.permille = 400;
  speed.samples = 36;
  beacon.__set_speeds({{cluster::engine_key("e-1"), speed}});
  state.peers.on_beacon(beacon, net::Clock::now());
  const auto known = state.engines.find("e-1");
  run_until(context, [&] { return known->speed < 1; });
  REQUIRE(known->speed == Approx(0.46));
}
