#include <catch2/catch.hpp>

#include "support/gateway_fixture.hpp"

using namespace sailgate;
using net::Millis;
using test::GatewayFixture;
using test::MemoryTable;
using test::run_until;

namespace {

constexpr std::int64_t kPeer = 9;

/// A gateway with one peer in another zone, whose beacons the test controls.
struct Fixture : GatewayFixture {
  void start_with_peer() {
    start();
    wire::PeerRow row;
    row.incarnation = kPeer;
    row.zone = "other-zone";
    row.address = "127.0.0.1";
    row.port = 1;
    gateway->state().peers.put("peer", row, net::Clock::now());
    receive_beacon(true);
  }

  void receive_beacon(bool reaches_store) {
    wire::Beacon beacon;
    beacon.incarnation = kPeer;
    beacon.reaches_store = reaches_store;
    gateway->state().peers.on_beacon(beacon, net::Clock::now());
  }

  /// Runs the gateway for `span`. @param beacons whether the peer sends beacons meanwhile.
  void run_for(Millis span, bool beacons, bool peer_reaches_store) {
    const auto end = net::Clock::now() + span;
    run_until(context, [&] {
      if (beacons) receive_beacon(peer_reaches_store);
      return net::Clock::now() >= end;
    });
  }

  std::string turn() {
    return request("POST", "/turns/x", "Sailgate-Program: p\r\nSailgate-Deadline-Ms: 3000\r\n",
                   "input");
  }
};

/// Time in which a partitioned node steps aside, on a busy machine.
constexpr Millis kTimeToStepAside{1500};

}  // namespace

TEST_CASE_METHOD(Fixture, "a partitioned node steps aside and becomes ready again afterwards",
                 "[readiness]") {
  start_with_peer();
  engine.set_script([](const auto& request) {
    return test::EngineReply{test::engine_answer(request, "done"), false, false};
  });
  table.set_mode(MemoryTable::Mode::kRefuses);
  run_for(kTimeToStepAside, false, false);
  REQUIRE_FALSE(gateway->ready());
  REQUIRE(logged({"\"steps_aside\"", "\"why\":\"cut_off\"", "\"others_heard\":"}) == 1);
  const auto plain = ask(request("GET", "/safe/x"));
  REQUIRE(plain.status == 200);
  REQUIRE(plain.head["Connection"] == "close");
  const auto refused = ask(turn());
  REQUIRE(refused.status == 503);
  REQUIRE(refused.head["Connection"] == "close");
  REQUIRE(std::stod(std::string(refused.head["Retry-After"])) < 0.3);
  table.set_mode(MemoryTable::Mode::kUp);
  run_until(context, [this] { return gateway->ready(); });
  REQUIRE(ask(request("GET", "/safe/x")).head["Connection"] != "close");
  REQUIRE(logged({"\"takes_callers_again\"", "\"why\":\"store_answers\""}) == 1);
}

TEST_CASE_METHOD(Fixture, "idle connections close once the load balancer has detected the node",
                 "[readiness]") {
  start_with_peer();
  engine.set_script([](const auto& request) {
    return test::EngineReply{test::engine_answer(request, "done"), false, false};
  });
  net::beast::tcp_stream kept(context);
  bool closed = false;
  const auto hold = [&]() -> net::asio::awaitable<void> {
    net::Error error;
    co_await kept.async_connect(settings.callers, net::awaiting(error));
    const auto bytes = request("GET", "/safe/x");
    co_await net::asio::async_write(kept, net::asio::buffer(bytes), net::awaiting(error));
    net::beast::flat_buffer buffer;
    net::http::response<net::http::string_body> answer;
    co_await net::http::async_read(kept, buffer, answer, net::awaiting(error));
    char byte = 0;
    co_await kept.async_read_some(net::asio::buffer(&byte, 1), net::awaiting(error));
    closed = error == net::asio::error::eof;
  };
  net::asio::co_spawn(context, hold(), net::asio::detached);
  run_for(Millis(200), true, true);
  table.set_mode(MemoryTable::Mode::kRefuses);
  run_for(kTimeToStepAside, false, false);
  REQUIRE_FALSE(gateway->ready());
  REQUIRE_FALSE(closed);
  run_until(context, [&] { return closed; });
}

TEST_CASE_METHOD(Fixture, "a node stays ready while the store is down for all nodes",
                 "[readiness]") {
  start_with_peer();
  table.set_mode(MemoryTable::Mode::kRefuses);
  run_for(Millis(4000), true, false);
  REQUIRE(gateway->ready());
  REQUIRE(logged({"\"steps_aside\""}) == 0);
}

TEST_CASE_METHOD(Fixture,
                 "with the mechanism disabled a node is ready until the store is silent for long",
                 "[readiness]") {
  settings.mechanisms.readiness = false;
  start_with_peer();
  table.set_mode(MemoryTable::Mode::kRefuses);
  run_for(kTimeToStepAside, false, false);
  REQUIRE(gateway->ready());
  run_for(Millis(2500), false, false);
  REQUIRE_FALSE(gateway->ready());
}
