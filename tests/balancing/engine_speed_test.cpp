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
const double kHalfSpeedSlowness = std::log(2.0);

balancing::Engine engine(int requests = 0) {
  balancing::Engine engine;
  engine.record.service = "llm";
  engine.record.slots = 8;
  engine.in_flight = requests;
  return engine;
}

}  // namespace

TEST_CASE("an unused engine has normal speed", "[balancing]") {
  REQUIRE(EngineSpeed().figure(kStart).samples == 0);
  SpeedEstimate estimate;
  REQUIRE(estimate.value() == 1);
  estimate.update({250, 0}, {4000, -3}, kStart);
  REQUIRE(estimate.value() == 1);
}

TEST_CASE("exchanges of twice the typical time give half the speed, and decay", "[balancing]") {
  EngineSpeed speed;
  for (int i = 0; i < 20; ++i) speed.add(kHalfSpeedSlowness, kStart + net::Millis(50 * i));
  const auto now = kStart + net::Millis(1000);
  REQUIRE(speed.figure(now).permille == 500);
  REQUIRE(speed.figure(now).samples >= 10);
  REQUIRE(speed.figure(now + net::Millis(4000)).samples == 0);
}

TEST_CASE("one hanging exchange barely lowers the speed estimate", "[balancing]") {
  EngineSpeed speed;
  speed.add(std::log(1000.0), kStart);
  speed.add(std::numeric_limits<double>::quiet_NaN(), kStart);
  speed.add(std::numeric_limits<double>::infinity(), kStart);
  REQUIRE(speed.figure(kStart).samples == 1);
  SpeedEstimate estimate;
  estimate.update(speed.figure(kStart), {}, kStart);
  REQUIRE(estimate.value() > 0.8);
}

TEST_CASE("slowness and recovery are detected within 3 s, and estimates expire within 8 s",
          "[balancing]") {
  SpeedEstimate estimate;
  auto now = kStart;
  const auto report = [&](int permille, int samples, int milliseconds) {
    for (int at = 0; at < milliseconds; at += 100, now += net::Millis(100)) {
      estimate.update({}, {permille, samples}, now);
    }
  };
  report(1000, 10, 6000);
  report(250, 10, 1400);
  REQUIRE(estimate.value() > 0.9);
  report(250, 10, 1600);
  REQUIRE(estimate.value() < 0.4);
  report(1000, 10, 3000);
  REQUIRE(estimate.value() > 0.9);
  report(250, 10, 6000);
  report(1000, 0, 8000);
  REQUIRE(estimate.value() == 1);
}

TEST_CASE("reports stay within bounds when the clock stalls or steps backward", "[balancing]") {
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

TEST_CASE("speed estimates stay within bounds and between the reported speeds", "[balancing]") {
  rc::check([](const std::vector<std::pair<SpeedReport, SpeedReport>>& reports) {
    SpeedEstimate estimate;
    double lowest = 1;
    double highest = 1;
    auto now = kStart;
    for (const auto& [own, peers] : reports) {
      estimate.update(own, peers, now);
      now += net::Millis(750);
      for (const auto& figure : {own, peers}) {
        if (figure.samples <= 0) continue;
        const double speed = std::clamp(figure.permille, 250, 4000) / 1000.0;
        lowest = std::min(lowest, speed);
        highest = std::max(highest, speed);
      }
      RC_ASSERT(estimate.value() >= lowest - 1e-3);
      RC_ASSERT(estimate.value() <= highest + 1e-3);
      RC_ASSERT(estimate.value() >= 0.25);
      RC_ASSERT(estimate.value() <= 4.0);
    }
  });
}

TEST_CASE("one wrong report does not outweigh the others", "[balancing]") {
  cluster::EngineSpeeds sum;
  wire::EngineSpeed wrong_report;
  wrong_report.permille = 1;
  wrong_report.samples = 2'000'000'000;
  wire::EngineSpeed right_report;
  right_report.permille = 1000;
  right_report.samples = 900;
  cluster::add_speeds({{1, wrong_report}}, sum);
  for (int node = 0; node < 10; ++node) cluster::add_speeds({{1, right_report}}, sum);
  REQUIRE(sum.at(1).permille > 900);
}

TEST_CASE("merging speed reports is independent of order and stays within bounds", "[cluster]") {
  using Figures = std::vector<std::pair<std::int32_t, std::int32_t>>;
  rc::check([](const Figures& figures) {
    cluster::EngineSpeeds forward;
    cluster::EngineSpeeds backward;
    const auto one = [](const std::pair<std::int32_t, std::int32_t>& figure) {
      wire::EngineSpeed speed;
      speed.permille = figure.first;
      speed.samples = figure.second;
      return cluster::EngineSpeeds{{1, speed}};
    };
    for (auto figure = figures.begin(); figure != figures.end(); ++figure) {
      cluster::add_speeds(one(*figure), forward);
    }
    for (auto figure = figures.rbegin(); figure != figures.rend(); ++figure) {
      cluster::add_speeds(one(*figure), backward);
    }
    RC_ASSERT(forward.size() == backward.size());
    if (forward.empty()) return;
    RC_ASSERT(forward.at(1).permille >= balancing::kMinPermille);
    RC_ASSERT(forward.at(1).permille <= balancing::kMaxPermille);
    RC_ASSERT(forward.at(1).samples == backward.at(1).samples);
    RC_ASSERT(forward.at(1).samples > 0);
    // Each merge truncates by less than one.
    const auto difference = std::abs(forward.at(1).permille - backward.at(1).permille);
    RC_ASSERT(difference <= static_cast<int>(figures.size()));
  });
}

TEST_CASE("the running median is robust to hanging exchanges", "[balancing]") {
  balancing::RunningMedian median;
  base::Random random(1);
  for (int i = 0; i < 400; ++i) median.add(random.below(10) == 0 ? 4000 : 38 + random.below(5));
  REQUIRE(median.known());
  REQUIRE(median.milliseconds() == Approx(40).epsilon(0.1));
}

TEST_CASE("the running median follows a change", "[balancing]") {
  balancing::RunningMedian median;
  for (int i = 0; i < 100; ++i) median.add(40);
  for (int i = 0; i < 40; ++i) median.add(60);
  REQUIRE(median.milliseconds() == Approx(60).epsilon(0.05));
}

TEST_CASE("the effect of batch size is not mistaken for slowness", "[balancing]") {
  // Two equally fast engines: one usually runs one request, the other seven; every fourth sample
  // both run four.
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
    for (auto* tested : {&idle, &busy}) {
      tested->speed_estimate.update(tested->own_speed.figure(now), {}, now);
      tested->speed = tested->speed_estimate.value();
    }
  }
  CAPTURE(idle.speed, busy.speed);
  REQUIRE(idle.speed / busy.speed < 1.3);
}

TEST_CASE("non-streaming calls are compared with their own route", "[balancing]") {
  balancing::ExchangeTimes times;
  auto normal = engine();
  auto slow = engine();
  for (int i = 0; i < 60; ++i) {
    const auto now = kStart + net::Millis(100 * i);
    times.record_plain_call(normal, "short", 10, now);
    times.record_plain_call(normal, "long", 200, now);
    times.record_plain_call(normal, "short", 10, now);
    times.record_plain_call(slow, i % 2 == 0 ? "short" : "long", i % 2 == 0 ? 20 : 400, now);
  }
  const auto now = kStart + net::Millis(6000);
  CHECK(normal.own_speed.figure(now).permille == Approx(1000).epsilon(0.1));
  CHECK(slow.own_speed.figure(now).permille == Approx(500).epsilon(0.15));
}

TEST_CASE("the number of tracked routes is bounded", "[balancing]") {
  balancing::ExchangeTimes times;
  auto tested = engine();
  for (int i = 0; i < 5000; ++i)
    times.record_plain_call(tested, "route-" + std::to_string(i), 10, kStart);
  for (int i = 0; i < 20; ++i) times.record_plain_call(tested, "route-4999", 10, kStart);
  REQUIRE(tested.own_speed.figure(kStart).samples == 0);
}

TEST_CASE("the ratio of turn time to prefill time is learned", "[balancing]") {
  balancing::ExchangeTimes times;
  auto tested = engine();
  REQUIRE(times.turn_to_prefill_ratio("llm") == 0);
  for (int i = 0; i < 20; ++i) {
    times.record_stream(tested, {15, 40, 255, true}, kStart);
    REQUIRE(times.turn_to_prefill_ratio("llm") == 0);
  }
  for (int i = 0; i < 20; ++i) times.record_stream(tested, {66, 40, 300, false}, kStart);
  REQUIRE(times.turn_to_prefill_ratio("llm") == Approx(5));
}

TEST_CASE("a speed near a step boundary is logged once", "[balancing]") {
  balancing::SpeedStep step;
  auto now = kStart;
  int messages = 0;
  for (int i = 0; i < 100; ++i, now += net::Millis(100)) {
    messages += step.should_log(i % 2 == 0 ? 0.83 : 0.85, now) ? 1 : 0;
  }
  REQUIRE(messages <= 1);
  REQUIRE(step.should_log(0.25, now + net::Millis(2000)));
  REQUIRE(step.value() == -4);
  REQUIRE_FALSE(step.should_log(1, now + net::Millis(2100)));
}
