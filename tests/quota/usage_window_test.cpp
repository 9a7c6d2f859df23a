#include "quota/usage_window.hpp"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <vector>

using namespace sailgate;
using quota::UsageWindow;

TEST_CASE("requests leave the window", "[quota]") {
  const net::TimePoint start = net::TimePoint{} + std::chrono::hours(1);
  UsageWindow window(net::Millis(5000));
  for (int i = 0; i < 10; ++i) window.add(start);
  REQUIRE(window.within(start, net::Millis(5000)) == 10);
  REQUIRE(window.within(start + net::Millis(2000), net::Millis(1000)) == 0);
  REQUIRE(window.within(start + net::Millis(5200), net::Millis(5000)) == 0);
  REQUIRE(window.empty());
}

TEST_CASE("requests of a window are reported by their age", "[quota]") {
  const net::TimePoint start = net::TimePoint{} + std::chrono::hours(1);
  UsageWindow window(net::Millis(5000));
  for (int i = 0; i < 3; ++i) window.add(start);
  for (int i = 0; i < 4; ++i) window.add(start + net::Millis(2000));
  const auto parts = window.buckets(start + net::Millis(2250), net::Millis(5000));
  REQUIRE(quota::sum_latest_buckets(parts, 1) == 4);
  REQUIRE(quota::sum_latest_buckets(parts, 4) == 4);
  REQUIRE(quota::sum_latest_buckets(parts, 5) == 7);
  REQUIRE(quota::sum_latest_buckets(parts, parts.size()) == 7);
}

TEST_CASE("a count is never too low and at most a slice too wide", "[quota]") {
  REQUIRE(rc::check([] {
    const net::TimePoint start = net::TimePoint{} + std::chrono::hours(1);
    const auto gaps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 400));
    const auto span = net::Millis(*rc::gen::inRange(100, 5000));
    UsageWindow window(net::Millis(5000));
    std::vector<net::TimePoint> times;
    auto now = start;
    for (const auto gap : gaps) {
      now += net::Millis(gap);
      window.add(now);
      times.push_back(now);
    }
    const auto counted = [&](net::Millis wide) {
      int count = 0;
      for (const auto time : times) count += time > now - wide ? 1 : 0;
      return count;
    };
    const auto reported = window.within(now, span);
    RC_ASSERT(reported >= counted(span));
    RC_ASSERT(reported <= counted(span + net::Millis(101)));
  }));
}
