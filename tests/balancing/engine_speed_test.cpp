#include "balancing/engine_speed.hpp"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <limits>
#include <vector>

#include "balancing/exchange_times.hpp"
#include "base/random.hpp"
#include "cluster/told_figures.hpp"

namespace rc {

template <>
struct Arbitrary<sailgate::balancing::SpeedReport> {
  static Gen<sailgate::balancing::SpeedReport> arbitrary() {
    using Figure = sailgate::balancing::SpeedReport;
    return gen::build<Figure>(gen::set(&Figure::permille), gen::set(&Figure::samples));
  }
};

}  // namespace rc

using namespace sailgate;
using balancing::EngineSpeed;
using balancing::SpeedEstimate;
using balancing::SpeedReport;

namespace {

const net::TimePoint kStart = net::TimePoint{} + std::chrono::hours(1);
const double kTwice = std::log(2.0);

balancing::Engine engine(int requests = 0) {
  balancing::Engine engine;
  engine.record.service = "llm";
  engine.record.slots = 8;
  engine.in_flight = requests;
  return engine;
}

}  // namespace

TEST_CASE("an engine that nobody used counts as usual", "[balancing]") {
  REQUIRE(EngineSpeed().figure(kStart).samples == 0);
  SpeedEstimate believed;
  REQUIRE(believed.value() == 1);
  believed.update({250, 0}, {4000, -3}, kStart);
  REQUIRE(believed.value() == 1);
}

TEST_CASE("exchanges that take twice as long tell half the speed, and fade", "[balancing]") {
  EngineSpeed speed;
  for (int i = 0; i < 20; ++i) speed.add(kTwice, kStart + net::Millis(50 * i));
  const auto now = kStart + net::Millis(1000);
  REQUIRE(speed.figure(now).permille == 500);
  REQUIRE(speed.figure(now).samples >= 10);
  REQUIRE(speed.figure(now + net::Millis(4000)).samples == 0);
}

TEST_CASE("one exchange that hangs does not empty an engine", "[balancing]") {
  EngineSpeed speed;
  speed.add(std::log(1000.0), kStart);
  speed.add(std::numeric_limits<double>::quiet_NaN(), kStart);
  speed.add(std::numeric_limits<double>::infinity(), kStart);
  REQUIRE(speed.figure(kStart).samples == 1);
  SpeedEstimate believed;
  believed.update(speed.figure(kStart), {}, kStart);
  REQUIRE(believed.value() > 0.8);
}

TEST_CASE(
    "an engine that turns slow is believed within 3 s, its mending as well, and what is known "
    "is forgotten within 8 s",
    "[balancing]") {
  SpeedEstimate believed;
  auto now = kStart;
  const auto hear = [&](int permille, int samples, int milliseconds) {
    for (int at = 0; at < milliseconds; at += 100, now += net::Millis(100)) {
      believed.update({}, {permille, samples}, now);
    }
  };
  hear(1000, 10, 6000);
  hear(250, 10, 1400);
  REQUIRE(believed.value() > 0.9);
  hear(250, 10, 1600);
  REQUIRE(believed.value() < 0.4);
  hear(1000, 10, 3000);
  REQUIRE(believed.value() > 0.9);
  hear(250, 10, 6000);
  hear(1000, 0, 8000);
  REQUIRE(believed.value() == 1);
}

TEST_CASE("a clock that stands or steps back leaves figures within their bounds", "[balancing]") {
  rc::check([](const std::vector<std::pair<int, int>>& samples) {
    EngineSpeed speed;
    for (const auto& [slowness, at] : samples) {
      speed.add(slowness / 1000.0, kStart + net::Millis(at % 100'000));
      const auto figure = speed.figure(kStart + net::Millis(at % 77'777));
      RC_ASSERT(figure.permille >= balancing::kMinPermille);
      RC_ASSERT(figure.permille <= balancing::kMaxPermille);
      RC_ASSERT(figure.samples >= 0);
    }
  });
}

TEST_CASE("believed speeds lie within the bounds and between what was told", "[balancing]") {
  rc::check([](const std::vector<std::pair<SpeedReport, SpeedReport>>& heard) {
    SpeedEstimate believed;
    double least = 1;
    double most = 1;
    auto now = kStart;
    for (const auto& [own, told] : heard) {
      believed.update(own, told, now);
      now += net::Millis(750);
      for (const auto& figure : {own, told}) {
        if (figure.samples <= 0) continue;
        const double speed = std::clamp(figure.permille, 250, 4000) / 1000.0;
        least = std::min(least, speed);
        most = std::max(most, speed);
      }
      RC_ASSERT(believed.value() >= least - 1e-3);
      RC_ASSERT(believed.value() <= most + 1e-3);
      RC_ASSERT(believed.value() >= 0.25);
      RC_ASSERT(believed.value() <= 4.0);
    }
  });
}

TEST_CASE("one node with wrong news does not outweigh the others", "[balancing]") {
  cluster::EngineSpeeds sum;
  wire::EngineSpeed wrong;
  wrong.permille = 1;
  wrong.samples = 2'000'000'000;
  wire::EngineSpeed right;
  right.permille = 1000;
  right.samples = 900;
  cluster::add_speeds({{1, wrong}}, sum);
  for (int node = 0; node < 10; ++node) cluster::add_speeds({{1, right}}, sum);
  REQUIRE(sum.at(1).permille > 900);
}

TEST_CASE("speeds of many nodes merge alike in any order, within their bounds", "[cluster]") {
  using Told = std::vector<std::pair<std::int32_t, std::int32_t>>;
  rc::check([](const Told& told) {
    cluster::EngineSpeeds forth;
    cluster::EngineSpeeds back;
    const auto one = [](const std::pair<std::int32_t, std::int32_t>& figure) {
      wire::EngineSpeed speed;
      speed.permille = figure.first;
      speed.samples = figure.second;
      return cluster::EngineSpeeds{{1, speed}};
    };
    for (auto figure = told.begin(); figure != told.end(); ++figure) {
      cluster::add_speeds(one(*figure), forth);
    }
    for (auto figure = told.rbegin(); figure != told.rend(); ++figure) {
      cluster::add_speeds(one(*figure), back);
    }
    RC_ASSERT(forth.size() == back.size());
    if (forth.empty()) return;
    RC_ASSERT(forth.at(1).permille >= balancing::kMinPermille);
    RC_ASSERT(forth.at(1).permille <= balancing::kMaxPermille);
    RC_ASSERT(forth.at(1).samples == back.at(1).samples);
    RC_ASSERT(forth.at(1).samples > 0);
    // Each merge rounds down by less than one.
    const auto difference = std::abs(forth.at(1).permille - back.at(1).permille);
    RC_ASSERT(difference <= static_cast<int>(told.size()));
  });
}

TEST_CASE("the usual time is little moved by exchanges that hang", "[balancing]") {
  balancing::RunningMedian usual;
  base::Random random(1);
  for (int i = 0; i < 400; ++i) usual.add(random.below(10) == 0 ? 4000 : 38 + random.below(5));
  REQUIRE(usual.known());
  REQUIRE(usual.milliseconds() == Approx(40).epsilon(0.1));
}

TEST_CASE("the usual time follows a change", "[balancing]") {
  balancing::RunningMedian usual;
  for (int i = 0; i < 100; ++i) usual.add(40);
  for (int i = 0; i < 40; ++i) usual.add(60);
  REQUIRE(usual.milliseconds() == Approx(60).epsilon(0.05));
}

TEST_CASE("what more requests add to a step is not taken for slowness", "[balancing]") {
  // Two engines alike: one always runs one request, the other seven; now and then each runs four.
  balancing::ExchangeTimes times;
  auto idle = engine(1);
  auto busy = engine(7);
  net::TimePoint now = kStart;
  for (int i = 0; i < 1500; ++i, now += net::Millis(10)) {
    const int idle_requests = i % 4 == 0 ? 4 : 1;
    const int busy_requests = i % 4 == 0 ? 4 : 7;
    idle.in_flight = idle_requests;
    busy.in_flight = busy_requests;
    times.record_stream(idle, {10, 30.0 + 4 * idle_requests, 250, true}, now);
    times.record_stream(busy, {10, 30.0 + 4 * busy_requests, 250, true}, now);
    for (auto* used : {&idle, &busy}) {
      used->speed_estimate.update(used->own_speed.figure(now), {}, now);
      used->speed = used->speed_estimate.value();
    }
  }
  CAPTURE(idle.speed, busy.speed);
  REQUIRE(idle.speed / busy.speed < 1.3);
}

TEST_CASE("plain answers are compared with their own route", "[balancing]") {
  balancing::ExchangeTimes times;
  auto usual = engine();
  auto slow = engine();
  for (int i = 0; i < 60; ++i) {
    const auto now = kStart + net::Millis(100 * i);
    times.record_plain_call(usual, "short", 10, now);
    times.record_plain_call(usual, "long", 200, now);
    times.record_plain_call(usual, "short", 10, now);
    times.record_plain_call(slow, i % 2 == 0 ? "short" : "long", i % 2 == 0 ? 20 : 400, now);
  }
  const auto now = kStart + net::Millis(6000);
  CHECK(usual.own_speed.figure(now).permille == Approx(1000).epsilon(0.1));
  CHECK(slow.own_speed.figure(now).permille == Approx(500).epsilon(0.15));
}

TEST_CASE("many routes do not grow what is kept without bound", "[balancing]") {
  balancing::ExchangeTimes times;
  auto used = engine();
  for (int i = 0; i < 5000; ++i)
    times.record_plain_call(used, "route-" + std::to_string(i), 10, kStart);
  for (int i = 0; i < 20; ++i) times.record_plain_call(used, "route-4999", 10, kStart);
  REQUIRE(used.own_speed.figure(kStart).samples == 0);
}

TEST_CASE("a turn's time is set against reading its prompt anew", "[balancing]") {
  balancing::ExchangeTimes times;
  auto used = engine();
  REQUIRE(times.turn_to_prefill_ratio("llm") == 0);
  for (int i = 0; i < 20; ++i) {
    times.record_stream(used, {15, 40, 255, true}, kStart);
    REQUIRE(times.turn_to_prefill_ratio("llm") == 0);
  }
  for (int i = 0; i < 20; ++i) times.record_stream(used, {66, 40, 300, false}, kStart);
  REQUIRE(times.turn_to_prefill_ratio("llm") == Approx(5));
}

TEST_CASE("a speed near a border of two steps is logged once", "[balancing]") {
  balancing::SpeedStep step;
  auto now = kStart;
  int lines = 0;
  for (int i = 0; i < 100; ++i, now += net::Millis(100)) {
    lines += step.should_log(i % 2 == 0 ? 0.83 : 0.85, now) ? 1 : 0;
  }
  REQUIRE(lines <= 1);
  REQUIRE(step.should_log(0.25, now + net::Millis(2000)));
  REQUIRE(step.value() == -4);
  REQUIRE_FALSE(step.should_log(1, now + net::Millis(2100)));
}
