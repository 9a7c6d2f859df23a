#include "quota/admission.hpp"

#include <catch2/catch.hpp>

using namespace sailgate;
using quota::Admission;
using quota::Bounds;
using quota::FleetUsage;
using quota::Limit;
using quota::ProgramStage;

namespace {

/// 25 a second and 25 on top: 150 in 5 s, of which 185 may be exceeded at most.
const Limit kSmallLimit{25, 25};
constexpr double kLimit = 150;
constexpr double kMaxRequests = 185;

/// @param draw the unluckiest one: what passes with it passes always.
Admission decide(const FleetUsage& usage, ProgramStage stage = ProgramStage::kInProgress,
                 double draw = 0.999999) {
  return quota::decide(kSmallLimit, Bounds{}, usage, stage, draw);
}

FleetUsage used(double own, double others) {
  FleetUsage usage;
  usage.own = own;
  usage.others = others;
  return usage;
}

}  // namespace

TEST_CASE("a tenant without a limit is let through", "[quota]") {
  REQUIRE(quota::decide(Limit{}, Bounds{}, used(1e6, 1e6), ProgramStage::kNew, 0).admitted);
}

TEST_CASE("all requests inside the limit are let through, none beyond the most", "[quota]") {
  REQUIRE(decide(used(1, kLimit - 2)).admitted);
  const auto refused = decide(used(1, kMaxRequests - 1));
  REQUIRE_FALSE(refused.admitted);
  REQUIRE(refused.allowed > kLimit);
  REQUIRE(refused.allowed < kMaxRequests);
}

TEST_CASE("a refusal tells whether the counted requests were inside the limit", "[quota]") {
  REQUIRE_FALSE(decide(used(1, kMaxRequests - 1)).within_limit);
  auto usage = used(1, kLimit - 10);
  REQUIRE(decide(usage).within_limit);
  // Refused for what may have come, not for what was counted.
  usage.unreported = 200;
  const auto refused = decide(usage);
  REQUIRE_FALSE(refused.admitted);
  REQUIRE(refused.within_limit);
  REQUIRE(refused.counted == kLimit - 9);
  usage.silent = 9;
  REQUIRE_FALSE(decide(usage).within_limit);
}

TEST_CASE("what came since the others told counts", "[quota]") {
  auto usage = used(1, kLimit - 2);
  usage.unreported = 40;
  REQUIRE_FALSE(decide(usage).admitted);
}

TEST_CASE("of more requests than there is room for a share is let through", "[quota]") {
  // Room for 15, and 29 others ask for it: half of them would take it all before anybody sees that,
  // so that fewer may have it.
  auto usage = used(1, kLimit);
  usage.others = decide(usage).allowed - usage.own - 15;
  usage.unreported = 29;
  REQUIRE(decide(usage, ProgramStage::kInProgress, 0.30).admitted);
  REQUIRE_FALSE(decide(usage, ProgramStage::kInProgress, 0.31).admitted);
  // What has left the window since is replaced in full.
  usage.expired = 6;
  REQUIRE(decide(usage, ProgramStage::kInProgress, 0.50).admitted);
  REQUIRE_FALSE(decide(usage, ProgramStage::kInProgress, 0.52).admitted);
  usage.expired = 0;
  // None where there is no room, however lucky.
  usage.others += 15;
  REQUIRE_FALSE(decide(usage, ProgramStage::kInProgress, 0).admitted);
}

TEST_CASE("programs that have not begun are refused before those under way", "[quota]") {
  const auto usage = used(5, kLimit - 5);
  REQUIRE_FALSE(decide(usage, ProgramStage::kNew).admitted);
  REQUIRE(decide(usage, ProgramStage::kInProgress).admitted);
  REQUIRE(decide(used(5, kLimit - 6), ProgramStage::kNew).admitted);
}

TEST_CASE("groups that are cut off from each other share the limit by their nodes", "[quota]") {
  double together = 0;
  for (const double live : {0.6, 0.3, 0.1}) {
    FleetUsage usage;
    usage.live_share = live;
    while (decide(usage).admitted) ++usage.own;
    together += usage.own;
  }
  REQUIRE(together <= kMaxRequests);
  REQUIRE(together >= kLimit - 3);
}

TEST_CASE("what nodes let through before they fell silent counts", "[quota]") {
  auto usage = used(0, 0);
  usage.silent = kLimit;
  while (decide(usage).admitted) ++usage.own;
  REQUIRE(usage.own + usage.silent <= kMaxRequests);
}

TEST_CASE("nodes that have all just started do not begin with a full allowance", "[quota]") {
  // Before the restart the tenant had used its limit evenly; it sends as much as it can after it.
  for (const double passed : {0.1, 0.3, 0.5, 0.9}) {
    FleetUsage usage;
    usage.restarted_share = 1;
    usage.unknown_history = 1 - passed;
    while (decide(usage).admitted) ++usage.own;
    REQUIRE(usage.own + (1 - passed) * kLimit <= kMaxRequests);
  }
}

TEST_CASE("no span of the window holds more than the burst and the rate of that span", "[quota]") {
  constexpr double kReserve = (kMaxRequests - kLimit) / 2;
  for (std::size_t parts = 1; parts < quota::kWindowBuckets; ++parts) {
    const double span_s = 0.5 * static_cast<double>(parts);
    FleetUsage usage;
    while (decide(usage).admitted) {
      ++usage.own;
      ++usage.reported_by_age[parts - 1];
    }
    INFO(span_s << " s");
    REQUIRE(usage.own <= kSmallLimit.burst + kSmallLimit.rate_per_s * span_s + kReserve);
    REQUIRE(usage.own >= kSmallLimit.burst + kSmallLimit.rate_per_s * span_s);
    const auto refused = decide(usage, ProgramStage::kInProgress, 0.999999);
    REQUIRE(refused.span == net::Millis(500) * static_cast<std::int64_t>(parts));
    REQUIRE_FALSE(refused.within_limit);
    // Room comes with the rate, not when the window has passed.
    REQUIRE(refused.retry_after <= net::Millis(500));
  }
}

TEST_CASE("what is counted in a span before a loss of all nodes and after it stays below the most",
          "[quota]") {
  for (std::size_t parts = 1; parts < quota::kWindowBuckets; ++parts) {
    FleetUsage before;
    while (decide(before).admitted) {
      ++before.own;
      ++before.reported_by_age[parts - 1];
    }
    // The rest of the window has passed since the loss.
    const std::size_t since = quota::kWindowBuckets - parts;
    FleetUsage after;
    after.restarted_share = 1;
    after.unknown_history = 0.1 * static_cast<double>(std::min(parts + 1, quota::kWindowBuckets));
    while (decide(after).admitted) {
      ++after.own;
      ++after.reported_by_age[since - 1];
    }
    INFO(parts << " parts before");
    REQUIRE(before.own + after.own <= kMaxRequests);
  }
}

TEST_CASE("a tenant that sends less than its rate is served again soon after a loss of all nodes",
          "[quota]") {
  FleetUsage usage;
  usage.restarted_share = 1;
  // Each 0.1 s; 0.8 of its rate.
  for (int step = 10; step < 50; ++step) {
    usage.unknown_history = std::min(1.0, 1.1 - 0.02 * step);
    usage.own = 0.8 * kSmallLimit.rate_per_s * 0.1 * step;
    INFO(0.1 * step << " s");
    REQUIRE(decide(usage).admitted);
  }
}

TEST_CASE("the time to come back follows from what leaves the window", "[quota]") {
  const auto soon = decide(used(1, kMaxRequests));
  REQUIRE(soon.retry_after >= net::Millis(200));
  REQUIRE(soon.retry_after <= net::Millis(1000));
  const auto late = decide(used(1, 3 * kMaxRequests));
  REQUIRE(late.retry_after > soon.retry_after);
  REQUIRE(late.retry_after <= net::Millis(5000));
}
