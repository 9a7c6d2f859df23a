#include "admission/service_load.hpp"

#include <catch2/catch.hpp>

using namespace sailgate;

namespace {

const net::TimePoint kNow = net::TimePoint{} + std::chrono::hours(1);

std::vector<balancing::EnginePointer> engines(int count, int in_flight) {
  std::vector<balancing::EnginePointer> made;
  for (int number = 0; number < count; ++number) {
    auto engine = std::make_shared<balancing::Engine>();
    engine->record.slots = 8;
    engine->in_flight = in_flight;
    made.push_back(engine);
  }
  return made;
}

admission::ServiceLoad measure(const std::vector<balancing::EnginePointer>& engines) {
  return admission::measure_load(engines, kNow, net::Millis(100));
}

}  // namespace

TEST_CASE("the load counts the requests of all nodes", "[admission]") {
  auto some = engines(4, 2);
  some.front()->peer_in_flight = 8;
  REQUIRE(measure(some).load == Approx(0.5));
  REQUIRE(measure(some).slots == 32);
  REQUIRE(measure({}).load == Approx(0));
}

TEST_CASE("what a service can take falls at once when engines fail", "[admission]") {
  auto some = engines(4, 6);
  for (int number : {0, 1}) {
    some[number]->consecutive_failures = 3;
    some[number]->failed_at = kNow - net::Millis(100);
  }
  REQUIRE(measure(some).slots == 16);
  REQUIRE(measure(some).lost_slots == 16);
  REQUIRE(measure(some).load == Approx(1.5));
  some[2]->awaiting_probe = true;
  REQUIRE(measure(some).slots == 8);
}

TEST_CASE("single and old failures lose no engine", "[admission]") {
  auto some = engines(2, 4);
  some[0]->consecutive_failures = 1;
  some[0]->failed_at = kNow;
  some[1]->consecutive_failures = 9;
  some[1]->failed_at = kNow - net::Millis(5000);
  REQUIRE(measure(some).slots == 16);
}

TEST_CASE("a node by whose sight all engines fail counts them all", "[admission]") {
  auto some = engines(2, 4);
  for (auto& engine : some) engine->awaiting_probe = true;
  REQUIRE(measure(some).slots == 16);
  REQUIRE(measure(some).load == Approx(0.5));
}

TEST_CASE("engines that drain count neither way", "[admission]") {
  auto some = engines(3, 4);
  some[0]->record.draining = true;
  some[1]->leaving = true;
  REQUIRE(measure(some).slots == 8);
  REQUIRE(measure(some).load == Approx(0.5));
}
