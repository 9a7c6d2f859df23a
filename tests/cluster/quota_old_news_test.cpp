// What users saw: a tenant with a limit of 42 requests in 5 s had 69 of them run, where 66 are the
// most, in a fleet of 84 nodes; once, and not in a replay.
//
// Order of events, in each of the cases below: the tenant sends several times its limit, as after
// its limit was lowered; some nodes lose sight of others (a cut, a standstill, an orderly stop);
// they go on to let requests through by what they heard before; the others do the same.
//
// Cause: a node took old news for the present. Until a peer counted as lost, which takes 2 s here,
// its last count stood for what it had let through; afterwards the count faded as if it had been
// spread evenly over the window, and nothing was added for what came since.
//
// Evidence: of the same fleet and load, without any of the three events, at most 59 requests pass
// in a window (seeds 1 to 3); with a cut 80, with a standstill 112, with nodes that leave 141.
#include <catch2/catch.hpp>

#include "cluster/quota_fleet.hpp"

using namespace sailgate;
using test::QuotaFleet;

namespace {

constexpr std::size_t kNodes = 84;
constexpr std::size_t kZones = 4;
/// Limit of 42 requests in 5 s, at most 66 by the bounds that nodes begin with.
constexpr double kRate = 7;
constexpr int kMaxRequests = 66;
constexpr double kLowRate = 2;
/// What callers send whose tenant's limit was lowered far below it.
constexpr double kHighRate = 5 * kRate;
constexpr net::Millis kSteadyTime{6000};
constexpr net::Millis kFaultTime{9000};

tenancy::Tenant tenant() {
  tenancy::Tenant tenant;
  tenant.name = "choir";
  tenant.limit = {kRate, kRate};
  return tenant;
}

/// Requests of programs under way, which may use a part of what the limit may be exceeded by.
cluster::QuotaRequest under_way() {
  cluster::QuotaRequest request;
  request.continues = true;
  return request;
}

}  // namespace

TEST_CASE("both sides of a cut keep the limit together from its first moment", "[cluster][quota]") {
  const auto before = GENERATE(kLowRate, kHighRate);
  const auto share = GENERATE(0.25, 0.35, 0.5);
  const auto seed = GENERATE(range(1U, 7U));
  INFO("seed " << seed << ", " << share << " cut off, " << before << " a second before");
  QuotaFleet fleet(kNodes, kZones, {}, seed);
  fleet.send(tenant(), under_way(), before, kSteadyTime);
  fleet.split(share);
  fleet.send(tenant(), under_way(), kHighRate, kFaultTime);
  fleet.heal();
  fleet.send(tenant(), under_way(), kHighRate, kSteadyTime);
  REQUIRE(fleet.max_in_window() <= kMaxRequests);
}

TEST_CASE("nodes that wake do not decide by what they heard before they stood still",
          "[cluster][quota]") {
  const auto freeze_time = net::Millis(GENERATE(1500, 2500, 4000));
  const auto share = GENERATE(0.15, 0.35);
  const auto seed = GENERATE(range(1U, 7U));
  INFO("seed " << seed << ", " << share << " still for " << freeze_time.count() << " ms");
  QuotaFleet fleet(kNodes, kZones, {}, seed);
  fleet.send(tenant(), under_way(), kLowRate, kSteadyTime);
  fleet.freeze(share);
  fleet.send(tenant(), under_way(), kHighRate, freeze_time);
  fleet.resume();
  fleet.send(tenant(), under_way(), kHighRate, kFaultTime);
  REQUIRE(fleet.max_in_window() <= kMaxRequests);
}

TEST_CASE("what nodes let through after they have left counts even when they had told nothing",
          "[cluster][quota]") {
  const auto leaving = GENERATE(3U, 7U);
  const auto seed = GENERATE(range(1U, 7U));
  INFO("seed " << seed << ", " << leaving << " of 10 leave");
  QuotaFleet fleet(kNodes, kZones, {}, seed);
  for (std::size_t place = 0; place < leaving; ++place) fleet.leave(place, 10);
  fleet.send(tenant(), under_way(), kHighRate, kFaultTime);
  REQUIRE(fleet.max_in_window() <= kMaxRequests);
}
