#include "cluster/beacon_lateness.hpp"

#include <catch2/catch.hpp>

using namespace sailgate;
using cluster::BeaconLateness;

namespace {

const net::TimePoint kStart = net::TimePoint{} + std::chrono::hours(1);

}  // namespace

TEST_CASE("a beacon's lateness is its excess over the smallest recent clock offset", "[cluster]") {
  BeaconLateness lateness;
  REQUIRE(lateness.of(0, kStart + net::Millis(5)) == net::Millis(0));
  REQUIRE(lateness.of(200, kStart + net::Millis(202)) == net::Millis(0));
  REQUIRE(lateness.of(400, kStart + net::Millis(410)) == net::Millis(8));
  REQUIRE(lateness.of(600, kStart + net::Millis(4602)) == net::Millis(4000));
  REQUIRE(lateness.of(4600, kStart + net::Millis(4602)) == net::Millis(0));
}

TEST_CASE("clock drift does not make beacons look late", "[cluster]") {
  BeaconLateness lateness;
  // The sender's clock loses 0.1 ms a second, 360 ms in an hour.
  for (std::int64_t ms = 0; ms < 3'600'000; ms += 200) {
    const auto late = lateness.of(ms - ms / 10'000, kStart + net::Millis(ms));
    REQUIRE(late <= net::Millis(7));
  }
}

TEST_CASE("beacons queued during a stall of minutes are late", "[cluster]") {
  BeaconLateness lateness;
  for (std::int64_t ms = 0; ms < 60'000; ms += 200) lateness.of(ms, kStart + net::Millis(ms));
  const auto resumed = kStart + net::Millis(300'000);
  REQUIRE(lateness.of(60'000, resumed) == net::Millis(240'000));
  REQUIRE(lateness.of(300'000, resumed) == net::Millis(0));
}
