#include <catch2/catch.hpp>

#include "simulation/simulated_cluster.hpp"

using sailgate::simulation::ClusterShape;
using sailgate::simulation::SimulatedCluster;

TEST_CASE("programs run to their end on a cluster without faults", "[simulation]") {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    SimulatedCluster cluster(ClusterShape{}, seed, {});
    cluster.start();
    cluster.start_callers(2000);
    cluster.heal_and_finish();
    CAPTURE(seed, cluster.oracle().violations());
    REQUIRE(cluster.oracle().violations().empty());
    REQUIRE(cluster.oracle().calls_told() > 20);
  }
}
