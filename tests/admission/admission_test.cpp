#include "admission/admission.hpp"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "admission/load_bounds.hpp"

using namespace sailgate;
using admission::Refusal;

namespace {

admission::ServiceLoad at_load(double load) {
  admission::ServiceLoad service;
  service.load = load;
  service.slots = 100;
  return service;
}

admission::ProgramRequest from(std::int32_t tenant, int rank = 0) {
  admission::ProgramRequest request;
  request.tenant = tenant;
  request.rank = rank;
  request.time_left = net::Millis(3000);
  return request;
}

Refusal refusal(double load, const admission::ProgramStartsByTenant& starts,
                const admission::ProgramRequest& request) {
  return admission::decide(at_load(load), starts, request).refusal;
}

const admission::ProgramStartsByTenant kOneHeavyTenant{{1, 10}, {2, 10}, {3, 100}};

}  // namespace

TEST_CASE("refusal reasons are checked in a fixed order", "[admission]") {
  auto request = from(3, 9);
  request.time_needed = net::Millis(10'000);
  REQUIRE(refusal(0.9, kOneHeavyTenant, request) == Refusal::kNone);
  REQUIRE(refusal(2.0, kOneHeavyTenant, request) == Refusal::kNoRoom);
  REQUIRE(refusal(1.6, kOneHeavyTenant, request) == Refusal::kRank);
  REQUIRE(refusal(1.3, kOneHeavyTenant, request) == Refusal::kFairShare);
  request.tenant = 1;
  REQUIRE(refusal(1.3, kOneHeavyTenant, request) == Refusal::kTimeLeft);
  request.program_started = true;
  REQUIRE(refusal(9.0, kOneHeavyTenant, request) == Refusal::kNone);
}

TEST_CASE("at high load only the tenant above its fair share is refused", "[admission]") {
  REQUIRE(refusal(1.7, kOneHeavyTenant, from(3)) == Refusal::kFairShare);
  REQUIRE(refusal(1.7, kOneHeavyTenant, from(1)) == Refusal::kNone);
  REQUIRE(refusal(1.7, kOneHeavyTenant, from(4)) == Refusal::kNone);
}

TEST_CASE("an idle tenant gets no more than its fair share when it returns", "[admission]") {
  admission::ProgramStartsByTenant starts{{1, 40}, {2, 40}};
  int admitted = 0;
  for (int asked = 0; asked < 100; ++asked) {
    if (refusal(1.75, starts, from(3)) != Refusal::kNone) continue;
    ++starts[3];
    ++admitted;
  }
  // At this load half of the recent starts are allowed: the returning tenant gets less than the
  // others had.
  REQUIRE(admitted > 10);
  REQUIRE(admitted <= 40);
}

TEST_CASE("callers without tenants are limited by the load only", "[admission]") {
  const admission::ProgramStartsByTenant nobody{{0, 500}};
  for (int rank = 0; rank < 10; ++rank) {
    for (double load = 0; load < 3; load += 0.01) {
      const bool admitted = refusal(load, nobody, from(0, rank)) == Refusal::kNone;
      REQUIRE(admitted == admission::may_start(load, rank));
    }
  }
}

TEST_CASE("the fair level uses all the capacity and does not cut small tenants", "[admission]") {
  REQUIRE(admission::fair_level({{1, 10}, {2, 10}, {3, 100}}, 60) == Approx(40));
  REQUIRE(admission::fair_level({{1, 10}, {2, 10}, {3, 100}}, 15) == Approx(5));
  REQUIRE(admission::fair_level({{1, 10}, {2, 10}, {3, 100}}, 500) == Approx(100));
  REQUIRE(admission::fair_level({}, 10) == Approx(0));
}

namespace {

rc::Gen<admission::ProgramStartsByTenant> random_starts() {
  return rc::gen::container<admission::ProgramStartsByTenant>(rc::gen::inRange(1, 9),
                                                              rc::gen::inRange(0, 60));
}

double random_load() { return *rc::gen::inRange(0, 300) / 100.0; }

}  // namespace

TEST_CASE("no tenant is refused while one with more starts is admitted", "[admission]") {
  REQUIRE(rc::check([] {
    const auto starts = *random_starts();
    const double load = random_load();
    const int rank = *rc::gen::inRange(0, 10);
    const auto less = from(*rc::gen::inRange(1, 9), rank);
    const auto more = from(*rc::gen::inRange(1, 9), rank);
    const auto count = [&](const admission::ProgramRequest& request) {
      const auto found = starts.find(request.tenant);
      return found == starts.end() ? 0 : found->second;
    };
    RC_PRE(count(less) <= count(more));
    if (refusal(load, starts, more) == Refusal::kNone) {
      RC_ASSERT(refusal(load, starts, less) == Refusal::kNone);
    }
  }));
}

TEST_CASE("nobody is refused while slots are free", "[admission]") {
  REQUIRE(rc::check([] {
    const auto starts = *random_starts();
    const double load = *rc::gen::inRange(0, 100) / 100.0;
    auto request = from(*rc::gen::inRange(1, 9), *rc::gen::inRange(0, 10));
    request.time_left = net::Millis(*rc::gen::inRange(0, 3000));
    request.time_needed = net::Millis(*rc::gen::inRange(0, 3000));
    RC_ASSERT(refusal(load, starts, request) == Refusal::kNone);
  }));
}

TEST_CASE("a more urgent program is admitted wherever a less urgent one is", "[admission]") {
  REQUIRE(rc::check([] {
    const auto starts = *random_starts();
    const double load = random_load();
    const int tenant = *rc::gen::inRange(1, 9);
    const int rank = *rc::gen::inRange(0, 9);
    if (refusal(load, starts, from(tenant, rank + 1)) == Refusal::kNone) {
      RC_ASSERT(refusal(load, starts, from(tenant, rank)) == Refusal::kNone);
    }
  }));
}

TEST_CASE("the fair level admits no more programs than the capacity", "[admission]") {
  REQUIRE(rc::check([] {
    const auto starts = *random_starts();
    const double room = *rc::gen::inRange(0, 400);
    const double level = admission::fair_level(starts, room);
    double sum = 0;
    double all = 0;
    for (const auto& [tenant, count] : starts) {
      sum += std::min<double>(count, level);
      all += count;
    }
    RC_ASSERT(sum <= room + 1e-6 || sum == all);
    RC_ASSERT(sum >= std::min(room, all) - 1e-6);
  }));
}
