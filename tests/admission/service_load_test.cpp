#include "admission/service_load.hpp"

#include <catch2/catch.hpp>

using namespace sailgate;

namespace {

const net::TimePoint kNow = net::TimePoint{} + std::chrono::hours(1);

std::vector<balancing::EnginePointer> engines(int count, int in_flight) {
  std::vector<balancing::EnginePointer> result;
  for (int number = 0; number < count; ++number) {
    auto engine = std::make_shared<balancing::Engine>();
    engine->record.slots = 8;
    engine->in_flight = in_flight;
    result.push_back(engine);
  }
  return result;
}

admission::ServiceLoad measure(const std::vector<balancing::EnginePointer>& engines) {
  return admission::measure_load(engines, kNow, net::Millis(100));
}

}  // namespace

TEST_CASE("the load counts the requests of all nodes", "[admission]") {
  auto some_engines = engines(4, 2);
  some_engines.front()->peer_in_flight = 8;
  REQUIRE(measure(some_engines).load == Approx(0.5));
  REQUIRE(measure(some_engines).slots == 32);
  REQUIRE(measure({}).load == Approx(0));
}

TEST_CASE("the capacity falls at once when engines fail", "[admission]") {
  auto some_engines = engines(4, 6);
  for (int number : {0, 1}) {
    some_engines[number]->consecutive_failures = 3;
    some_engines[number]->failed_at = kNow - net::Millis(100);
  }
  REQUIRE(measure(some_engines).slots == 16);
  REQUIRE(measure(some_engines).lost_slots == 16);
  REQUIRE(measure(some_engines).load == Approx(1.5));
  some_engines[2]->awaiting_probe = true;
  REQUIRE(measure(some_engines).slots == 8);
}

TEST_CASE("single and old failures do not reduce the capacity", "[admission]") {
  auto some_engines = engines(2, 4);
  some_engines[0]->consecutive_failures = 1;
  some_engines[0]->failed_at = kNow;
  some_engines[1]->consecutive_failures = 9;
  some_engines[1]->failed_at = kNow - net::Millis(5000);
  REQUIRE(measure(some_engines).slots == 16);
}

TEST_CASE("a node to which all engines seem to fail counts them all", "[admission]") {
  auto some_engines = engines(2, 4);
  for (auto& engine : some_engines) engine->awaiting_probe = true;
  REQUIRE(measure(some_engines).slots == 16);
  REQUIRE(measure(some_engines).load == Approx(0.5));
}

TEST_CASE("draining engines count neither as load nor as capacity", "[admission]") {
  auto some_engines = engines(3, 4);
  some_engines[0]->record.draining = true;
  some_engines[1]->leaving = true;
  REQUIRE(measure(some_engines).slots == 8);
  REQUIRE(measure(some_engines).load == Approx(0.5));
}
