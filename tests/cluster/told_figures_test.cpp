#include "cluster/told_figures.hpp"

#include <catch2/catch.hpp>

namespace sailgate {

namespace {

wire::EngineSpeed speed(std::int32_t permille, std::int32_t samples) {
  wire::EngineSpeed value;
  value.permille = permille;
  value.samples = samples;
  return value;
}

}  // namespace

TEST_CASE("engine speeds of several nodes are averaged by their number of samples") {
  cluster::EngineSpeeds sum;
  cluster::add_speeds({{1, speed(1000, 30)}, {2, speed(550, 4)}}, sum);
  cluster::add_speeds({{1, speed(600, 10)}, {3, speed(100, 0)}}, sum);
  REQUIRE(sum.at(1).permille == 900);
  REQUIRE(sum.at(1).samples == 40);
  REQUIRE(sum.at(2).permille == 550);
  // A speed without samples is ignored.
  REQUIRE(sum.count(3) == 0);
}

TEST_CASE("a zone's summary carries the totals of its nodes' beacons") {
  wire::Beacon first;
  first.loads[1] = 3;
  first.prompts[7] = 2;
  first.begun[9] = 1;
  first.failures[1] = 1;
  wire::Beacon second = first;
  second.speeds[1] = speed(500, 2);
  cluster::NodeStats sum;
  sum.add(cluster::extract_stats(first));
  sum.add(cluster::extract_stats(second));
  wire::ZoneSummary summary;
  cluster::write_stats(sum, summary);
  const auto read_back = cluster::extract_stats(summary);
  REQUIRE(read_back.loads.at(1) == 6);
  REQUIRE(read_back.failures.at(1) == 2);
  REQUIRE(read_back.prompts.at(7) == 4);
  REQUIRE(read_back.begun.at(9) == 2);
  REQUIRE(read_back.speeds.at(1).permille == 500);
}

}  // namespace sailgate
