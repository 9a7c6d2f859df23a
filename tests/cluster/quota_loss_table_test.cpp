// Prints a table of the effects of losing nodes right after a burst: the maximum number of requests
// admitted in a window, and the number refused although they were within the limit.
#include <catch2/catch.hpp>
#include <iostream>

#include "cluster/quota_fleet.hpp"

using namespace sailgate;
using test::QuotaFleet;

namespace {

struct Fleet {
  int nodes;
  int zones;
  double rate;
  unsigned seeds;
};

tenancy::Tenant tenant_of(double rate) {
  tenancy::Tenant tenant;
  tenant.name = "choir";
  tenant.limit = {rate, rate};
  return tenant;
}

void run_scenario(const Fleet& fleet, double times, double share, net::Millis away) {
  const double limit = 6 * fleet.rate;
  const int max_requests = static_cast<int>(limit * 1.1 + 20);
  int observed_max = 0;
  int over = 0;
  int refused = 0;
  int admitted = 0;
  int sent = 0;
  for (unsigned seed = 1; seed <= fleet.seeds; ++seed) {
    QuotaFleet nodes(fleet.nodes, fleet.zones, {}, seed);
    cluster::QuotaRequest under_way;
    under_way.continues = true;
    const auto tenant = tenant_of(fleet.rate);
    nodes.send(tenant, under_way, fleet.rate / 2, net::Millis(6000));
    nodes.send(tenant, under_way, times * fleet.rate, net::Millis(1500));
    nodes.crash(share, away);
    nodes.send(tenant, under_way, times * fleet.rate, net::Millis(6000));
    observed_max = std::max(observed_max, nodes.max_in_window());
    over += nodes.max_in_window() > max_requests ? 1 : 0;
    refused += nodes.refused_within_limit(limit);
    sent += nodes.sent();
    admitted += nodes.admitted();
  }
  std::cout << "| " << fleet.nodes << " | " << fleet.rate << " | " << times << " | " << share
            << " | " << away.count() << " | " << observed_max << " of " << max_requests << " | "
            << over << " of " << fleet.seeds << " | " << refused << " | " << admitted << " of "
            << sent << " |" << std::endl;
}

}  // namespace

TEST_CASE("table of node losses right after a burst", "[.][quota-losses]") {
  std::cout
      << "| nodes | rate | times | share lost | away ms | max | exceeded | refused within limit | "
         "admitted |\n";
  for (const Fleet fleet : {Fleet{4, 1, 60, 8}, Fleet{12, 1, 60, 3}, Fleet{4, 1, 7, 8},
                            Fleet{4, 1, 200, 8}, Fleet{84, 4, 60, 2}, Fleet{84, 4, 200, 2}}) {
    for (const double times : {0.9, 3.0, 5.0}) {
      for (const double share : {0.0, 0.5, 0.9, 1.1}) {
        for (const auto away : {net::Millis(0), net::Millis(500), net::Millis(1500)}) {
          if (share == 0.0 && away.count() > 0) continue;
          if (fleet.nodes > 4 && away.count() == 1500) continue;
          run_scenario(fleet, times, share, away);
        }
      }
    }
  }
}
