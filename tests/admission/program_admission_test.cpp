#include "admission/program_admission.hpp"

#include <catch2/catch.hpp>

using namespace sailgate;
using admission::ProgramAdmission;
using admission::ProgramRequest;
using admission::Refusal;

namespace {

const net::TimePoint kStart = net::TimePoint{} + std::chrono::hours(1);

admission::ServiceLoad at_load(double load) {
  admission::ServiceLoad service;
  service.load = load;
  service.slots = 100;
  return service;
}

ProgramRequest from(std::int32_t tenant) {
  ProgramRequest request;
  request.tenant = tenant;
  request.time_left = net::Millis(3000);
  return request;
}

}  // namespace

TEST_CASE("a node reports its program starts for the fair-share window", "[admission]") {
  ProgramAdmission node(0);
  for (int program = 0; program < 3; ++program) node.admit(at_load(0), from(7), kStart);
  auto continuation = from(7);
  continuation.program_started = true;
  node.admit(at_load(9), continuation, kStart);
  REQUIRE_FALSE(node.admit(at_load(9), from(8), kStart).admitted());
  REQUIRE(node.told(kStart) == admission::ProgramStartsByTenant{{7, 3}});
  REQUIRE(node.told(kStart + net::Millis(2000)) == admission::ProgramStartsByTenant{{7, 3}});
  REQUIRE(node.told(kStart + net::Millis(4000)).empty());
}

TEST_CASE("with too many tenants a beacon reports those with the most programs", "[admission]") {
  ProgramAdmission node(0);
  for (std::int32_t tenant = 1; tenant <= 300; ++tenant) {
    for (int program = 0; program < (tenant > 290 ? 2 : 1); ++program) {
      node.admit(at_load(0), from(tenant), kStart);
    }
  }
  const auto reported = node.told(kStart);
  REQUIRE(reported.size() == 200);
  for (std::int32_t tenant = 291; tenant <= 300; ++tenant) REQUIRE(reported.at(tenant) == 2);
}

TEST_CASE("programs started on other nodes count against the fair share", "[admission]") {
  ProgramAdmission node(0);
  node.hear({{1, 30}, {2, 5}}, 4, kStart);
  REQUIRE(node.admit(at_load(1.75), from(1), kStart).refusal == Refusal::kFairShare);
  REQUIRE(node.admit(at_load(1.75), from(2), kStart).admitted());
  // Starts that are no longer reported no longer count.
  node.hear({}, 1, kStart + net::Millis(500));
  REQUIRE(node.admit(at_load(1.75), from(1), kStart + net::Millis(500)).admitted());
}

TEST_CASE("a burst on one node is assumed to reach the other nodes as well", "[admission]") {
  ProgramAdmission node(0);
  node.hear({}, 50, kStart);
  int admitted = 0;
  for (int program = 0; program < 20; ++program) {
    admitted += node.admit(at_load(0.5), from(1), kStart).admitted() ? 1 : 0;
  }
  // Twenty programs on each of fifty nodes would far exceed the 100 slots.
  REQUIRE(admitted >= 2);
  REQUIRE(admitted <= 8);
  // Without other nodes all of them are admitted.
  ProgramAdmission single_node(0);
  for (int program = 0; program < 20; ++program) {
    REQUIRE(single_node.admit(at_load(0.5), from(1), kStart).admitted());
  }
}

TEST_CASE("the first-turn time follows recent first turns of the service", "[admission]") {
  ProgramAdmission node(0);
  REQUIRE(node.first_turn_time("service") == net::Millis(0));
  node.record_first_turn("service", net::Millis(100));
  REQUIRE(node.first_turn_time("service") == net::Millis(100));
  for (int turn = 0; turn < 50; ++turn) node.record_first_turn("service", net::Millis(300));
  REQUIRE(node.first_turn_time("service") > net::Millis(290));
  REQUIRE(node.first_turn_time("other") == net::Millis(0));
}

TEST_CASE("retry delays leave callers two thirds of their remaining time", "[admission]") {
  ProgramAdmission node(0);
  auto request = from(1);
  for (int caller = 0; caller < 20; ++caller) {
    REQUIRE(node.retry_delay("service", request, kStart) <= net::Millis(1000));
  }
  request.time_left = net::Millis(300);
  REQUIRE(node.retry_delay("service", request, kStart) <= net::Millis(100));
}
