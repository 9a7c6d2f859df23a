#include "admission/return_schedule.hpp"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

using namespace sailgate;
using admission::ReturnPace;
using admission::ReturnSchedule;

namespace {

const net::TimePoint kStart = net::TimePoint{} + std::chrono::hours(1);
/// One node that may let ten programs begin a second.
const ReturnPace kTenPerSecond{10, 1, net::Millis(400), net::Millis(1000)};

}  // namespace

TEST_CASE("callers come back one after the other as programs may begin", "[admission]") {
  ReturnSchedule schedule(0);
  REQUIRE(schedule.place(0, kTenPerSecond, kStart) == net::Millis(400));
  REQUIRE(schedule.place(0, kTenPerSecond, kStart) == net::Millis(500));
  REQUIRE(schedule.place(0, kTenPerSecond, kStart + net::Millis(50)) == net::Millis(550));
}

TEST_CASE("more urgent callers do not wait for less urgent ones", "[admission]") {
  ReturnSchedule schedule(0);
  for (int caller = 0; caller < 4; ++caller) schedule.place(2, kTenPerSecond, kStart);
  REQUIRE(schedule.place(0, kTenPerSecond, kStart) == net::Millis(400));
  REQUIRE(schedule.place(0, kTenPerSecond, kStart) == net::Millis(500));
  REQUIRE(schedule.place(2, kTenPerSecond, kStart) == net::Millis(800));
}

TEST_CASE("nodes share the places by their number", "[admission]") {
  ReturnSchedule schedule(0.5);
  ReturnPace pace = kTenPerSecond;
  pace.nodes = 4;
  REQUIRE(schedule.place(0, pace, kStart) == net::Millis(600));
  REQUIRE(schedule.place(0, pace, kStart) == net::Millis(1000));
}

TEST_CASE("times to come back are ones that callers heed", "[admission]") {
  REQUIRE(rc::check([] {
    ReturnSchedule schedule(*rc::gen::inRange(0, 100) / 100.0);
    auto now = kStart;
    for (int caller = 0; caller < 30; ++caller) {
      ReturnPace pace;
      pace.begins_per_s = *rc::gen::inRange(0, 200);
      pace.nodes = static_cast<std::size_t>(*rc::gen::inRange(1, 300));
      pace.first = net::Millis(*rc::gen::inRange(0, 500));
      pace.longest = net::Millis(*rc::gen::inRange(50, 1000));
      now += net::Millis(*rc::gen::inRange(0, 300));
      const auto wait = schedule.place(*rc::gen::inRange(0, 10), pace, now);
      RC_ASSERT(wait <= pace.longest);
      RC_ASSERT(wait >= std::min(pace.first, pace.longest));
    }
  }));
}
