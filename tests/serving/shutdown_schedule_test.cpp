#include "serving/shutdown_schedule.hpp"

#include <catch2/catch.hpp>

#include "serving/route_durations.hpp"

using namespace sailgate;
using serving::RequestTiming;
using serving::ShutdownSchedule;

namespace {

const net::TimePoint kBegan = net::TimePoint(std::chrono::hours(1));
constexpr net::Millis kGrace{8000};

struct Fixture {
  ShutdownSchedule schedule;
  Fixture() { schedule.begin(kBegan, kGrace); }

  bool can_finish(net::Millis at, net::Millis timeout, std::optional<net::Millis> expected,
                  bool streamed) {
    RequestTiming timing;
    timing.deadline = kBegan + at + timeout;
    timing.expected = expected;
    timing.streamed = streamed;
    return schedule.can_finish(timing, kBegan + at);
  }
};

}  // namespace

TEST_CASE_METHOD(Fixture, "a shutdown accepts requests whose deadline lies before the exit",
                 "[serving][shutdown]") {
  const bool streamed = GENERATE(false, true);
  REQUIRE(can_finish(net::Millis(3000), net::Millis(4000), std::nullopt, streamed));
  REQUIRE_FALSE(can_finish(net::Millis(4000), net::Millis(4000), std::nullopt, streamed));
}

TEST_CASE_METHOD(Fixture, "a shutdown accepts later deadlines of requests that usually end in time",
                 "[serving][shutdown]") {
  const bool streamed = GENERATE(false, true);
  const net::Millis timeout(20'000);
  REQUIRE(can_finish(net::Millis(1000), timeout, net::Millis(2000), streamed));
  REQUIRE_FALSE(can_finish(net::Millis(1000), timeout, net::Millis(7000), streamed));
}

TEST_CASE_METHOD(Fixture, "once callers reach other nodes a stream is not begun on an estimate",
                 "[serving][shutdown]") {
  const net::Millis timeout(20'000);
  REQUIRE_FALSE(can_finish(net::Millis(2500), timeout, net::Millis(1000), true));
  REQUIRE(can_finish(net::Millis(2500), timeout, net::Millis(1000), false));
}

TEST_CASE_METHOD(Fixture, "a grace period that changes during a shutdown moves its end",
                 "[serving][shutdown]") {
  REQUIRE(can_finish(net::Millis(0), net::Millis(7000), std::nullopt, false));
  schedule.set_grace(net::Millis(5000));
  REQUIRE_FALSE(can_finish(net::Millis(0), net::Millis(7000), std::nullopt, false));
}

TEST_CASE("the durations of a route are estimated by themselves", "[serving][shutdown]") {
  serving::RouteDurations durations;
  REQUIRE_FALSE(durations.high_estimate("short"));
  for (int i = 0; i < 20; ++i) {
    durations.observe("short", net::Millis(100));
    durations.observe("long", net::Millis(3000));
  }
  REQUIRE(*durations.high_estimate("short") < net::Millis(500));
  REQUIRE(*durations.high_estimate("long") >= net::Millis(3000));
}
