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

TEST_CASE("what a node let begin is told for some seconds", "[admission]") {
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

TEST_CASE("a beacon names the tenants with the most programs when there are many", "[admission]") {
  ProgramAdmission node(0);
  for (std::int32_t tenant = 1; tenant <= 300; ++tenant) {
    for (int program = 0; program < (tenant > 290 ? 2 : 1); ++program) {
      node.admit(at_load(0), from(tenant), kStart);
    }
  }
  const auto told = node.told(kStart);
  REQUIRE(told.size() == 200);
  for (std::int32_t tenant = 291; tenant <= 300; ++tenant) REQUIRE(told.at(tenant) == 2);
}

TEST_CASE("programs that other nodes let begin count against a share", "[admission]") {
  ProgramAdmission node(0);
  node.hear({{1, 30}, {2, 5}}, 4, kStart);
  REQUIRE(node.admit(at_load(1.75), from(1), kStart).refusal == Refusal::kFairShare);
  REQUIRE(node.admit(at_load(1.75), from(2), kStart).admitted());
  // What is not told any more is forgotten.
  node.hear({}, 1, kStart + net::Millis(500));
  REQUIRE(node.admit(at_load(1.75), from(1), kStart + net::Millis(500)).admitted());
}

TEST_CASE("a node that is asked far more than usual takes the others to be asked as much",
          "[admission]") {
  ProgramAdmission node(0);
  node.hear({}, 50, kStart);
  int admitted = 0;
  for (int program = 0; program < 20; ++program) {
    admitted += node.admit(at_load(0.5), from(1), kStart).admitted() ? 1 : 0;
  }
  // Fifty nodes with as many each would be far beyond the 100 slots.
  REQUIRE(admitted >= 2);
  REQUIRE(admitted <= 8);
  // One node alone may take them all.
  ProgramAdmission alone(0);
  for (int program = 0; program < 20; ++program) {
    REQUIRE(alone.admit(at_load(0.5), from(1), kStart).admitted());
  }
}

TEST_CASE("first turns tell how long the next ones need", "[admission]") {
  ProgramAdmission node(0);
  REQUIRE(node.first_turn_time("service") == net::Millis(0));
  node.record_first_turn("service", net::Millis(100));
  REQUIRE(node.first_turn_time("service") == net::Millis(100));
  for (int turn = 0; turn < 50; ++turn) node.record_first_turn("service", net::Millis(300));
  REQUIRE(node.first_turn_time("service") > net::Millis(290));
  REQUIRE(node.first_turn_time("other") == net::Millis(0));
}

TEST_CASE("times to come back leave callers two thirds of their time", "[admission]") {
  ProgramAdmission node(0);
  auto request = from(1);
  for (int caller = 0; caller < 20; ++caller) {
    REQUIRE(node.retry_delay("service", request, kStart) <= net::Millis(1000));
  }
  request.time_left = net::Millis(300);
  REQUIRE(node.retry_delay("service", request, kStart) <= net::Millis(100));
}
