#include "cluster/stall_detector.hpp"

#include <catch2/catch.hpp>

using namespace sailgate;
using cluster::StallDetector;

TEST_CASE("a process counts as just resumed after a stall", "[base]") {
  const net::TimePoint start = net::TimePoint{} + std::chrono::hours(1);
  constexpr net::Millis kGap{300};
  StallDetector stalls(start);
  REQUIRE(stalls.resumed_within(net::Millis(500), start));
  auto now = start;
  for (int tick = 0; tick < 20; ++tick) stalls.tick(now += net::Millis(100), kGap);
  REQUIRE_FALSE(stalls.resumed_within(net::Millis(500), now));
  now += net::Millis(4000);
  REQUIRE(stalls.stalled(now, kGap));
  stalls.tick(now, kGap);
  REQUIRE_FALSE(stalls.stalled(now, kGap));
  REQUIRE(stalls.resumed_within(net::Millis(500), now + net::Millis(499)));
  REQUIRE_FALSE(stalls.resumed_within(net::Millis(500), now + net::Millis(500)));
}
