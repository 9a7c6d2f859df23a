#include <catch2/catch.hpp>

#include "support/gateway_fixture.hpp"
#include "wire/codec.hpp"

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

namespace {

struct RegistrationFixture : GatewayFixture {
  std::string row_of(std::int64_t incarnation) {
    wire::PeerRow row;
    row.incarnation = incarnation;
    row.zone = settings.zone;
    row.address = settings.peers.address().to_string();
    row.port = settings.peers.port();
    return wire::encode(row);
  }
  /// Process whose row the table holds; 0 if there is none.
  std::int64_t registered() {
    store::RangeRead range;
    range.table = "nodes";
    const auto result = test::run(context, table.read(range, net::Millis(100)));
    for (const auto& row : result.rows) {
      if (row.id.key == settings.node) return wire::decode<wire::PeerRow>(row.value).incarnation;
    }
    return 0;
  }
  void run_for(net::Millis time) {
    context.restart();
    context.run_for(time);
  }
};

constexpr std::int64_t kOwnIncarnation = 7;
constexpr std::int64_t kOtherIncarnation = 3;

}  // namespace

// A row that a late write of the process before replaced or removed stayed so, and peers ignored
// the node.
TEST_CASE_METHOD(RegistrationFixture,
                 "a node whose row a late write of the process before replaced registers again",
                 "[serving]") {
  start();
  run_until(context, [&] { return registered() == kOwnIncarnation; });
  run_for(net::Millis(200));
  const bool removed = GENERATE(true, false);
  const int late_writes = GENERATE(1, 2);
  for (int i = 0; i < late_writes; ++i) {
    if (removed) {
      table.remove("nodes", "", settings.node);
    } else {
      table.put("nodes", "", settings.node, row_of(kOtherIncarnation));
    }
    REQUIRE(registered() != kOwnIncarnation);
    run_for(net::Millis(1000));
    REQUIRE(registered() == kOwnIncarnation);
  }
}

TEST_CASE_METHOD(RegistrationFixture,
                 "a late removal by a stopping process spares the row of the next process",
                 "[serving]") {
  start();
  run_until(context, [&] { return registered() == kOwnIncarnation; });
  const bool row_seen = GENERATE(true, false);
  if (row_seen) run_for(net::Millis(200));
  table.set_mode(MemoryTable::Mode::kLate);
  gateway->stop();
  run_for(net::Millis(100));
  table.set_mode(MemoryTable::Mode::kUp);
  table.put("nodes", "", settings.node, row_of(kOtherIncarnation));
  table.apply_late();
  run_for(net::Millis(500));
  REQUIRE(registered() == kOtherIncarnation);
}

TEST_CASE_METHOD(RegistrationFixture, "a stopping process removes its own row", "[serving]") {
  start();
  run_until(context, [&] { return registered() == kOwnIncarnation; });
  // Another row changes the store's version.
  table.put("other", "", "key", "value");
  gateway->stop();
  run_for(net::Millis(200));
  REQUIRE(registered() == 0);
}

TEST_CASE_METHOD(GatewayFixture, "a node that is not registered yet goes on trying", "[serving]") {
  table.set_mode(MemoryTable::Mode::kThrottles);
  start();
  run_until(context, [&] { return table.writes_of("nodes") >= 3; });
  REQUIRE_FALSE(table.has("nodes", "node-1"));
  table.set_mode(MemoryTable::Mode::kUp);
  run_until(context, [&] { return table.has("nodes", "node-1"); });
}
