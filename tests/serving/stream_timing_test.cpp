#include "serving/stream_timing.hpp"

#include <catch2/catch.hpp>

using namespace sailgate;
using net::Millis;
using serving::StreamTiming;

namespace {

const net::TimePoint kStart = net::TimePoint{} + std::chrono::hours(1);

}  // namespace

TEST_CASE("stream times are computed from the arrival of its events", "[serving]") {
  StreamTiming timing(kStart, true);
  REQUIRE_FALSE(timing.times(kStart + Millis(5)));
  timing.record_events(1, kStart + Millis(20));
  timing.record_events(2, kStart + Millis(100));
  timing.record_events(1, kStart + Millis(140));
  const auto times = timing.times(kStart + Millis(150));
  REQUIRE(times);
  REQUIRE(times->first_event_ms == Approx(20));
  REQUIRE(times->mean_event_gap_ms == Approx(40));
  REQUIRE(times->total_ms == Approx(150));
  REQUIRE(times->prompt_cached);
}

TEST_CASE("events that arrive together give no gap between events", "[serving]") {
  StreamTiming timing(kStart, false);
  timing.record_events(4, kStart + Millis(20));
  REQUIRE(timing.times(kStart + Millis(20))->mean_event_gap_ms == 0);
  timing.record_events(1, kStart + Millis(60));
  REQUIRE(timing.times(kStart + Millis(60))->mean_event_gap_ms == 0);
}

TEST_CASE("a slow reader does not count against the speed of the engine", "[serving]") {
  StreamTiming timing(kStart, false);
  timing.record_events(1, kStart + Millis(20));
  timing.record_delivery(kStart + Millis(220));
  timing.record_events(2, kStart + Millis(221));
  timing.record_events(2, kStart + Millis(300));
  REQUIRE(timing.times(kStart + Millis(300))->mean_event_gap_ms == 0);
}
