#include <catch2/catch.hpp>

#include "admission/admission_fleet.hpp"

using namespace sailgate;
using test::AdmissionFleet;
using test::CallerKind;
using test::CallerResults;
using test::Policy;

namespace {

constexpr int kTenants = 20;
constexpr int kUrgent = 0;
constexpr int kLessUrgent = 2;
constexpr net::Millis kReportAge{300};
constexpr net::Millis kDrainTime{8000};

/// `times` the normal rate, spread evenly over the tenants; the first `heavy` tenants send `factor`
/// times as much as the others.
AdmissionFleet::Rates rates(double times, int heavy = 0, double factor = 1) {
  AdmissionFleet::Rates rates;
  const double each = times * AdmissionFleet::kNormalRate / kTenants / 2;
  for (int tenant = 0; tenant < kTenants; ++tenant) {
    for (const int rank : {kUrgent, kLessUrgent}) {
      rates[{tenant, rank}] = tenant < heavy ? factor * each : each;
    }
  }
  return rates;
}

CallerResults sum_of(const AdmissionFleet& fleet, int from, int to, int rank) {
  CallerResults sum;
  for (int tenant = from; tenant < to; ++tenant) {
    const auto results = fleet.results({tenant, rank});
    sum.asked += results.asked;
    sum.in_time += results.in_time;
    sum.late += results.late;
    sum.refused += results.refused;
  }
  return sum;
}

AdmissionFleet burst(Policy policy, net::Millis report_age) {
  AdmissionFleet fleet(policy, report_age, 1);
  fleet.send(rates(1), net::Millis(4000));
  fleet.send(rates(3), net::Millis(6000));
  fleet.send(rates(1), net::Millis(10'000));
  fleet.send({}, kDrainTime);
  return fleet;
}

AdmissionFleet half_capacity_lost(Policy policy) {
  AdmissionFleet fleet(policy, kReportAge, 1);
  fleet.send(rates(1), net::Millis(4000));
  fleet.set_slots(AdmissionFleet::kSlots / 2);
  fleet.send(rates(1), net::Millis(8000));
  fleet.set_slots(AdmissionFleet::kSlots);
  fleet.send(rates(1), net::Millis(6000));
  fleet.send({}, kDrainTime);
  return fleet;
}

AdmissionFleet two_heavy_tenants(Policy policy, double factor) {
  AdmissionFleet fleet(policy, kReportAge, 1);
  fleet.send(rates(1), net::Millis(4000));
  fleet.send(rates(1, 2, factor), net::Millis(6000));
  fleet.send(rates(1), net::Millis(6000));
  fleet.send({}, kDrainTime);
  return fleet;
}

AdmissionFleet simultaneous_callers(Policy policy) {
  AdmissionFleet fleet(policy, kReportAge, 1);
  fleet.send(rates(1), net::Millis(4000));
  for (int tenant = 0; tenant < kTenants; ++tenant) {
    for (const int rank : {kUrgent, kLessUrgent}) fleet.send_at_once({tenant, rank}, 30);
  }
  fleet.send(rates(1), net::Millis(10'000));
  fleet.send({}, kDrainTime);
  return fleet;
}

}  // namespace

// Guards the gain of fair sharing and scheduled retries over a load bound: 71 of 100 programs
// finish in time instead of 41.
TEST_CASE("fair sharing finishes more programs in time in a burst of three times the load",
          "[admission]") {
  const auto before = burst(Policy::kLoadBoundOnly, kReportAge).total_results();
  const auto fleet = burst(Policy::kFairShare, kReportAge);
  const auto after = fleet.total_results();
  CAPTURE(before.in_time, after.in_time, after.refused, after.asked);
  REQUIRE(after.share_in_time() > before.share_in_time() + 0.2);
  REQUIRE(after.late < before.late / 2);
  REQUIRE(fleet.highest_load() < 2);
  const auto urgent = sum_of(fleet, 0, kTenants, kUrgent);
  const auto less_urgent = sum_of(fleet, 0, kTenants, kLessUrgent);
  CAPTURE(urgent.in_time, less_urgent.in_time);
  REQUIRE(urgent.share_in_time() > less_urgent.share_in_time());
  REQUIRE(urgent.refused < less_urgent.refused);
  // Outdated load reports cause a few refusals while slots are free.
  REQUIRE(fleet.refused_with_free_slots() < after.asked / 20);
}

// With half of the engines the normal load is 1.2 times their capacity: 92 of 100 programs finish
// in time instead of 64.
TEST_CASE("when half of the engines are lost the more urgent programs finish in time",
          "[admission]") {
  const auto before = half_capacity_lost(Policy::kLoadBoundOnly);
  const auto after = half_capacity_lost(Policy::kFairShare);
  CAPTURE(before.total_results().in_time, after.total_results().in_time);
  REQUIRE(after.total_results().share_in_time() > before.total_results().share_in_time() + 0.15);
  REQUIRE(sum_of(after, 0, kTenants, kUrgent).share_in_time() > 0.9);
  REQUIRE(sum_of(after, 0, kTenants, kUrgent).refused == 0);
}

// Two of twenty tenants send 15 times their normal rate, which makes 2.4 times the normal load.
TEST_CASE("heavy tenants get only the capacity that small tenants leave", "[admission]") {
  const auto normal = two_heavy_tenants(Policy::kFairShare, 1);
  const auto before = two_heavy_tenants(Policy::kLoadBoundOnly, 15);
  const auto after = two_heavy_tenants(Policy::kFairShare, 15);
  for (const int rank : {kUrgent, kLessUrgent}) {
    const auto small = sum_of(after, 2, kTenants, rank);
    const auto small_baseline = sum_of(before, 2, kTenants, rank);
    const auto heavy = sum_of(after, 0, 2, rank);
    CAPTURE(rank, small.in_time, small_baseline.in_time, small.asked, heavy.in_time, heavy.asked);
    REQUIRE(small.share_in_time() > small_baseline.share_in_time() + 0.2);
    REQUIRE(1 - heavy.share_in_time() > 3 * (1 - small.share_in_time()));
    REQUIRE(heavy.refused >= small.refused);
  }
  REQUIRE(sum_of(normal, 2, kTenants, kUrgent).share_in_time() == Approx(1));
  REQUIRE(sum_of(after, 2, kTenants, kUrgent).share_in_time() > 0.99);
  REQUIRE(sum_of(after, 2, kTenants, kUrgent).refused == 0);
}

// 1,200 simultaneous callers on top of the normal load: 60 of 100 finish in time instead of 43.
TEST_CASE("simultaneous callers are admitted only as far as they can finish in time",
          "[admission]") {
  const auto before = simultaneous_callers(Policy::kLoadBoundOnly).total_results();
  const auto after = simultaneous_callers(Policy::kFairShare).total_results();
  CAPTURE(before.in_time, after.in_time, after.refused, after.asked);
  REQUIRE(after.share_in_time() > before.share_in_time() + 0.1);
  REQUIRE(after.late < before.late);
}

// With load reports 1 s old fair sharing reacts too late to help much; it must not do harm.
TEST_CASE("with load reports one second old fair sharing serves no fewer callers", "[admission]") {
  const auto before = burst(Policy::kLoadBoundOnly, net::Millis(1000)).total_results();
  const auto after = burst(Policy::kFairShare, net::Millis(1000)).total_results();
  CAPTURE(before.in_time, after.in_time, after.refused, after.asked);
  REQUIRE(after.share_in_time() > before.share_in_time());
  REQUIRE(after.late < before.late);
}

TEST_CASE("the normal load causes no refusals", "[admission]") {
  AdmissionFleet fleet(Policy::kFairShare, kReportAge, 1);
  fleet.send(rates(1, 2, 3), net::Millis(20'000));
  fleet.send({}, kDrainTime);
  REQUIRE(fleet.total_results().refused == 0);
  REQUIRE(fleet.total_results().share_in_time() == Approx(1));
}
