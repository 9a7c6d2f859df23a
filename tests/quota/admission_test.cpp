#include "quota/admission.hpp"

#include <catch2/catch.hpp>

using namespace sailgate;
using quota::Admission;
using quota::Bounds;
using quota::FleetUsage;
using quota::Limit;
using quota::ProgramStage;

namespace {

/// 25 requests per second and a burst of 25: 150 in 5 s, with a permitted maximum of 185.
const Limit kSmallLimit{25, 25};
constexpr double kLimit = 150;
constexpr double kMaxRequests = 185;

/// @param draw defaults to the least favourable value: a request admitted with it is always
/// admitted.
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

TEST_CASE("requests of a tenant without a limit are admitted", "[quota]") {
  REQUIRE(quota::decide(Limit{}, Bounds{}, used(1e6, 1e6), ProgramStage::kNew, 0).admitted);
}

TEST_CASE("requests within the limit are admitted, requests above the maximum are not", "[quota]") {
  REQUIRE(decide(used(1, kLimit - 2)).admitted);
  const auto refused = decide(used(1, kMaxRequests - 1));
  REQUIRE_FALSE(refused.admitted);
  REQUIRE(refused.allowed > kLimit);
  REQUIRE(refused.allowed < kMaxRequests);
}

TEST_CASE("a refusal says whether the counted requests were within the limit", "[quota]") {
  REQUIRE_FALSE(decide(used(1, kMaxRequests - 1)).within_limit);
  auto usage = used(1, kLimit - 10);
  REQUIRE(decide(usage).within_limit);
  // Refused because of possible unreported requests, not because of counted ones.
  usage.unreported = 200;
  const auto refused = decide(usage);
  REQUIRE_FALSE(refused.admitted);
  REQUIRE(refused.within_limit);
  REQUIRE(refused.counted == kLimit - 9);
  usage.silent = 9;
  REQUIRE_FALSE(decide(usage).within_limit);
}

TEST_CASE("requests since the peers' last reports are counted", "[quota]") {
  auto usage = used(1, kLimit - 2);
  usage.unreported = 40;
  REQUIRE_FALSE(decide(usage).admitted);
}

TEST_CASE("a share of the requests is admitted when demand exceeds the capacity", "[quota]") {
  // Capacity for 15 with 29 other requests competing: admitting half of them would use all of it
  // before any report shows this, so a smaller share is admitted.
  auto usage = used(1, kLimit);
  usage.others = decide(usage).allowed - usage.own - 15;
  usage.unreported = 29;
  REQUIRE(decide(usage, ProgramStage::kInProgress, 0.30).admitted);
  REQUIRE_FALSE(decide(usage, ProgramStage::kInProgress, 0.31).admitted);
  // Requests that have left the window since the report are replaced in full.
  usage.expired = 6;
  REQUIRE(decide(usage, ProgramStage::kInProgress, 0.50).admitted);
  REQUIRE_FALSE(decide(usage, ProgramStage::kInProgress, 0.52).admitted);
  usage.expired = 0;
  // Without capacity no request is admitted, whatever the draw.
  usage.others += 15;
  REQUIRE_FALSE(decide(usage, ProgramStage::kInProgress, 0).admitted);
}

TEST_CASE("new programs are refused before programs in progress", "[quota]") {
  const auto usage = used(5, kLimit - 5);
  REQUIRE_FALSE(decide(usage, ProgramStage::kNew).admitted);
  REQUIRE(decide(usage, ProgramStage::kInProgress).admitted);
  REQUIRE(decide(used(5, kLimit - 6), ProgramStage::kNew).admitted);
}

TEST_CASE("partitioned groups share the limit in proportion to their nodes", "[quota]") {
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

TEST_CASE("requests admitted by nodes that stopped reporting are counted", "[quota]") {
  auto usage = used(0, 0);
  usage.silent = kLimit;
  while (decide(usage).admitted) ++usage.own;
  REQUIRE(usage.own + usage.silent <= kMaxRequests);
}

TEST_CASE("nodes that have all just started do not begin with a full allowance", "[quota]") {
  // The tenant used its limit evenly before the restart and sends as much as possible after it.
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
    // Capacity becomes free at the rate, not only after a whole window.
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
    // Since the loss, the rest of the window has passed.
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
  // Steps of 0.1 s at 0.8 of the tenant's rate.
  for (int step = 10; step < 50; ++step) {
    usage.unknown_history = std::min(1.0, 1.1 - 0.02 * step);
    usage.own = 0.8 * kSmallLimit.rate_per_s * 0.1 * step;
    INFO(0.1 * step << " s");
    REQUIRE(decide(usage).admitted);
  }
}

TEST_CASE("the retry delay follows from the requests that leave the window", "[quota]") {
  const auto soon = decide(used(1, kMaxRequests));
  REQUIRE(soon.retry_after >= net::Millis(200));
  REQUIRE(soon.retry_after <= net::Millis(1000));
  const auto late = decide(used(1, 3 * kMaxRequests));
  REQUIRE(late.retry_after > soon.retry_after);
  REQUIRE(late.retry_after <= net::Millis(5000));
}
