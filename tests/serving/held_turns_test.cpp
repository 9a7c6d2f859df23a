#include "serving/held_turns.hpp"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <vector>

#include "serving/caller_patience.hpp"
#include "serving/turn_times.hpp"

using namespace sailgate;
using serving::CallerWaitEstimator;
using serving::HeldTurns;

namespace {

net::TimePoint at(int milliseconds) {
  return net::TimePoint{} + std::chrono::hours(1) + net::Millis(milliseconds);
}

}  // namespace

TEST_CASE("held turns start in batches, earliest deadline first", "[serving][outage]") {
  rc::prop("for any deadlines", [] {
    const auto deadlines = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3000));
    HeldTurns held;
    std::vector<HeldTurns::Ticket> waiting;
    for (const auto deadline : deadlines) waiting.push_back(held.add(at(deadline), 10));
    RC_ASSERT(held.bytes() == 10 * deadlines.size());
    auto last = net::TimePoint{};
    int time = 0;
    while (!waiting.empty()) {
      int begun = 0;
      for (bool more = true; more;) {
        more = false;
        for (std::size_t i = 0; i < waiting.size(); ++i) {
          if (!held.may_begin(waiting[i], at(time))) continue;
          RC_ASSERT(waiting[i].first >= last);
          last = waiting[i].first;
          held.remove(waiting[i]);
          waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(i));
          ++begun;
          more = true;
          break;
        }
      }
      RC_ASSERT(begun >= 1);  // each interval starts at least one turn
      RC_ASSERT(begun <= HeldTurns::kStartBatchSize);
      time += static_cast<int>(HeldTurns::kStartBatchInterval.count());
    }
    RC_ASSERT(held.count() == 0U);
    RC_ASSERT(held.bytes() == 0U);
  });
}

TEST_CASE("a removed turn does not block the turns behind it", "[serving][outage]") {
  HeldTurns held;
  const auto first = held.add(at(100), 1);
  const auto second = held.add(at(200), 1);
  REQUIRE_FALSE(held.may_begin(second, at(0)));
  held.remove(first);
  held.remove(first);
  REQUIRE(held.may_begin(second, at(0)));
  REQUIRE(held.count() == 1);
}

TEST_CASE("too few disconnects leave the maximum wait unchanged", "[serving][outage]") {
  CallerWaitEstimator estimator;
  REQUIRE(estimator.max_wait(at(0)) == CallerWaitEstimator::kMaxWait);
  for (int i = 0; i < 100; ++i) estimator.record(net::Millis(1500), false, at(i));
  estimator.record(net::Millis(900), true, at(100));
  REQUIRE(estimator.max_wait(at(100)) == CallerWaitEstimator::kMaxWait);
}

TEST_CASE("the maximum wait is estimated from callers that disconnect", "[serving][outage]") {
  CallerWaitEstimator estimator;
  // Of the callers that wait 0.9 s, two in five disconnect. The waits that end earlier for another
  // reason are censored observations and must not raise the estimate.
  for (int i = 0; i < 10; ++i) {
    estimator.record(net::Millis(300), false, at(i));
    estimator.record(net::Millis(910), i % 5 < 2, at(i));
  }
  const auto bound = estimator.max_wait(at(10));
  REQUIRE(bound <= net::Millis(900));
  REQUIRE(bound >= net::Millis(800));
}

TEST_CASE("observed disconnects decay", "[serving][outage]") {
  CallerWaitEstimator estimator;
  for (int i = 0; i < 8; ++i) estimator.record(net::Millis(900), true, at(i));
  REQUIRE(estimator.max_wait(at(8)) <= net::Millis(900));
  REQUIRE(estimator.max_wait(at(30'000)) == CallerWaitEstimator::kMaxWait);
}

TEST_CASE("the upper estimate covers most turn durations", "[serving][outage]") {
  serving::TurnDurationEstimator times;
  REQUIRE(times.upper_estimate() > net::Millis(0));
  times.observe(net::Millis(100));
  REQUIRE(times.upper_estimate() == net::Millis(100));
  for (int i = 0; i < 200; ++i) times.observe(net::Millis(i % 10 == 0 ? 300 : 100));
  REQUIRE(times.upper_estimate() >= net::Millis(150));
  REQUIRE(times.upper_estimate() <= net::Millis(320));
}
