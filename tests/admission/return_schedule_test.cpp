#include "admission/return_schedule.hpp"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

using namespace sailgate;
using admission::RetryPacing;
using admission::RetrySchedule;

namespace {

const net::TimePoint kStart = net::TimePoint{} + std::chrono::hours(1);
/// One node with an admission rate of ten programs per second.
const RetryPacing kTenPerSecond{10, 1, net::Millis(400), net::Millis(1000)};

}  // namespace

TEST_CASE("retries are spaced by the admission rate", "[admission]") {
  RetrySchedule schedule(0);
  REQUIRE(schedule.next_retry_delay(0, kTenPerSecond, kStart) == net::Millis(400));
  REQUIRE(schedule.next_retry_delay(0, kTenPerSecond, kStart) == net::Millis(500));
  REQUIRE(schedule.next_retry_delay(0, kTenPerSecond, kStart + net::Millis(50)) ==
          net::Millis(550));
}

TEST_CASE("more urgent callers do not wait for less urgent ones", "[admission]") {
  RetrySchedule schedule(0);
  for (int caller = 0; caller < 4; ++caller) schedule.next_retry_delay(2, kTenPerSecond, kStart);
  REQUIRE(schedule.next_retry_delay(0, kTenPerSecond, kStart) == net::Millis(400));
  REQUIRE(schedule.next_retry_delay(0, kTenPerSecond, kStart) == net::Millis(500));
  REQUIRE(schedule.next_retry_delay(2, kTenPerSecond, kStart) == net::Millis(800));
}

TEST_CASE("retry slots are divided among the nodes", "[admission]") {
  RetrySchedule schedule(0.5);
  RetryPacing pacing = kTenPerSecond;
  pacing.node_count = 4;
  REQUIRE(schedule.next_retry_delay(0, pacing, kStart) == net::Millis(600));
  REQUIRE(schedule.next_retry_delay(0, pacing, kStart) == net::Millis(1000));
}

TEST_CASE("retry delays stay within their limits", "[admission]") {
  REQUIRE(rc::check([] {
    RetrySchedule schedule(*rc::gen::inRange(0, 100) / 100.0);
    auto now = kStart;
    for (int caller = 0; caller < 30; ++caller) {
      RetryPacing pacing;
      pacing.starts_per_s = *rc::gen::inRange(0, 200);
      pacing.node_count = static_cast<std::size_t>(*rc::gen::inRange(1, 300));
      pacing.min_delay = net::Millis(*rc::gen::inRange(0, 500));
      pacing.max_delay = net::Millis(*rc::gen::inRange(50, 1000));
      now += net::Millis(*rc::gen::inRange(0, 300));
      const auto wait = schedule.next_retry_delay(*rc::gen::inRange(0, 10), pacing, now);
      RC_ASSERT(wait <= pacing.max_delay);
      RC_ASSERT(wait >= std::min(pacing.min_delay, pacing.max_delay));
    }
  }));
}
