#include <catch2/catch.hpp>

#include "support/gateway_fixture.hpp"

using namespace sailgate;
using test::GatewayFixture;
using test::MemoryTable;
using test::run_until;

// Repeated registrations kept a store busy that answered late, so that they were repeated again.
TEST_CASE_METHOD(GatewayFixture,
                 "a registration that took effect without an answer is not repeated", "[serving]") {
  table.set_mode(MemoryTable::Mode::kLosesAnswers);
  start();
  run_until(context, [&] { return table.has("nodes", "node-1"); });
  const auto node_rows = [&] { return table.writes_of("nodes"); };
  // The row arrives by the feed before the attempt times out.
  const auto before = node_rows();
  context.restart();
  context.run_for(net::Millis(3000));
  REQUIRE(node_rows() == before);
}

TEST_CASE_METHOD(GatewayFixture, "a node that is not registered yet goes on trying", "[serving]") {
  table.set_mode(MemoryTable::Mode::kThrottles);
  start();
  run_until(context, [&] { return table.writes_of("nodes") >= 3; });
  REQUIRE_FALSE(table.has("nodes", "node-1"));
  table.set_mode(MemoryTable::Mode::kUp);
  run_until(context, [&] { return table.has("nodes", "node-1"); });
}
