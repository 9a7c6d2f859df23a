#include <catch2/catch.hpp>

#include "cluster/quota_fleet.hpp"

using namespace sailgate;
using test::QuotaFleet;

namespace {

constexpr int kNodes = 4;
constexpr double kRate = 60;
/// 60 a second over 5 s and a burst of 60, a tenth more and 20.
constexpr int kMost = 416;
constexpr double kLoweredShare = 0.6;

tenancy::Tenant tenant(double share) {
  tenancy::Tenant tenant;
  tenant.name = "choir";
  tenant.limit = {share * kRate, share * kRate};
  return tenant;
}

}  // namespace

TEST_CASE("a limit holds over a loss of all nodes right after a burst", "[cluster][quota]") {
  cluster::QuotaRequest under_way;
  under_way.continues = true;
  const auto seed = GENERATE(range(1U, 7U));
  INFO("seed " << seed);
  QuotaFleet fleet(kNodes, 1, {}, seed);
  fleet.send(tenant(kLoweredShare), under_way, 33, net::Millis(6000));
  fleet.send(tenant(1), under_way, 156, net::Millis(2000));
  fleet.restart(1);
  fleet.send(tenant(1), under_way, 100, net::Millis(6000));
  REQUIRE(fleet.most_in_window() <= kMost);
}
