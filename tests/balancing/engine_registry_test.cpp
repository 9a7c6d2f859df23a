#include "balancing/engine_registry.hpp"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

using namespace sailgate;
using balancing::EngineRecord;
using balancing::EngineRegistry;

namespace {

EngineRecord run_of(const std::string& name, std::int64_t started_ms, bool draining = false) {
  EngineRecord record;
  record.name = name;
  record.started_ms = started_ms;
  record.id = balancing::run_id(name, started_ms);
  record.service = "app";
  record.draining = draining;
  return record;
}

constexpr net::Millis kLasting{4000};

}  // namespace

TEST_CASE("a restarted engine is treated as a new engine", "[balancing]") {
  EngineRegistry registry;
  std::vector<std::string> unusable_ids;
  int restarts = 0;
  registry.on_unusable([&](const auto& engine) { unusable_ids.push_back(engine.record.id); });
  registry.on_restart([&](const auto&, const auto&) { ++restarts; });
  registry.put(run_of("e", 1000));
  const auto before = registry.find("e@1000");
  before->in_flight = 3;
  before->consecutive_failures = 2;
  before->own_speed = {};
  const bool clock_set_back = GENERATE(false, true);
  registry.put(run_of("e", clock_set_back ? 500 : 2000));
  if (clock_set_back) {
    // Only an entry that lasts tells a new run from a late write of a run before.
    registry.adopt_lasting(net::Clock::now(), kLasting);
    REQUIRE(registry.at("e") == before);
    registry.adopt_lasting(net::Clock::now() + kLasting, kLasting);
  }
  const auto now = registry.at("e");
  REQUIRE(now != before);
  REQUIRE(now->usable());
  REQUIRE(now->in_flight == 0);
  REQUIRE(now->consecutive_failures == 0);
  REQUIRE_FALSE(before->usable());
  REQUIRE(registry.find("e@1000") == nullptr);
  REQUIRE(registry.has_ended("e@1000"));
  REQUIRE(registry.of_service("app").size() == 1);
  REQUIRE(unusable_ids == std::vector<std::string>{"e@1000"});
  REQUIRE(restarts == 1);
}

TEST_CASE("an engine restarted while draining is usable", "[balancing]") {
  EngineRegistry registry;
  registry.put(run_of("e", 1000, true));
  registry.put(run_of("e", 2000));
  REQUIRE(registry.at("e")->usable());
  // Within a run, draining is final.
  registry.put(run_of("e", 2000, true));
  registry.put(run_of("e", 2000));
  REQUIRE_FALSE(registry.at("e")->usable());
}

TEST_CASE("late records of an ended run are ignored", "[balancing]") {
  EngineRegistry registry;
  registry.put(run_of("e", 1000));
  registry.put(run_of("e", 2000, true));
  registry.put(run_of("e", 1000));
  REQUIRE(registry.at("e")->record.id == "e@2000");
  REQUIRE_FALSE(registry.at("e")->usable());
  // Two restarts within a second, the first of which was never read.
  registry.put(run_of("e", 2700));
  REQUIRE(registry.at("e")->usable());
  REQUIRE(registry.size() == 1);
}

// An entry that a lost write brought back ended the living run for good.
TEST_CASE("a late record of the run before does not end the living run", "[balancing]") {
  EngineRegistry registry;
  int outdated = 0;
  registry.on_outdated([&](const auto&, const auto&) { ++outdated; });
  registry.put(run_of("e", 1000));
  const bool lapsed = GENERATE(false, true);
  if (lapsed) registry.remove("e");
  registry.put(run_of("e", 2000));
  const auto living = registry.at("e");
  const int late_writes = GENERATE(1, 3);
  const bool by_list = GENERATE(false, true);
  for (int i = 0; i < late_writes; ++i) {
    if (by_list) {
      registry.replace({run_of("e", 1000)});
    } else {
      registry.put(run_of("e", 1000));
    }
    REQUIRE(registry.at("e") == living);
    registry.put(run_of("e", 2000));
  }
  REQUIRE(outdated == late_writes);
  registry.adopt_lasting(net::Clock::now() + 2 * kLasting, kLasting);
  registry.put(run_of("e", 2000, true));
  REQUIRE(registry.at("e") == living);
  REQUIRE_FALSE(living->usable());
}

TEST_CASE("a late record is no sign of life of the newer run", "[balancing]") {
  EngineRegistry registry;
  registry.put(run_of("e", 1000));
  registry.put(run_of("e", 2000));
  registry.mark_stale("e");
  registry.put(run_of("e", 1000));
  registry.remove_stale();
  REQUIRE(registry.at("e") == nullptr);
  // Nor does it bring back an engine that is gone.
  registry.put(run_of("e", 1000));
  REQUIRE(registry.at("e") == nullptr);
}

TEST_CASE("a run whose clock was set back is not ended by late records", "[balancing]") {
  EngineRegistry registry;
  registry.put(run_of("e", 1000));
  registry.put(run_of("e", 500));
  registry.adopt_lasting(net::Clock::now() + kLasting, kLasting);
  REQUIRE(registry.at("e")->record.id == "e@500");
  registry.put(run_of("e", 1000));
  REQUIRE(registry.at("e")->record.id == "e@500");
  registry.put(run_of("e", 500, true));
  REQUIRE_FALSE(registry.at("e")->usable());
}

// Whatever the registry believes of an engine's runs, it does not ignore the living one for good.
TEST_CASE("an entry that lasts is believed after any series of records", "[balancing]") {
  REQUIRE(rc::check([] {
    EngineRegistry registry;
    const auto now = net::Clock::now();
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
    for (const int step : steps) {
      if (step == 0) {
        registry.remove("e");
      } else if (step == 1) {
        registry.mark_stale("e");
      } else if (step == 2) {
        registry.remove_stale();
      } else {
        registry.put(run_of("e", 1000 * step));
      }
    }
    const int living = *rc::gen::inRange(3, 6);
    registry.put(run_of("e", 1000 * living));
    registry.adopt_lasting(now + 2 * kLasting, kLasting);
    RC_ASSERT(registry.at("e") != nullptr);
    RC_ASSERT(registry.at("e")->record.started_ms == 1000 * living);
    registry.put(run_of("e", 1000 * living, true));
    RC_ASSERT(!registry.at("e")->usable());
  }));
}

TEST_CASE("a stale entry that returns with another start time is a new engine", "[balancing]") {
  EngineRegistry registry;
  registry.put(run_of("e", 1000));
  registry.mark_stale("e");
  REQUIRE(registry.at("e")->usable());
  registry.put(run_of("e", 2000));
  registry.remove_stale();
  REQUIRE(registry.at("e")->record.id == "e@2000");
  registry.remove("e");
  REQUIRE(registry.size() == 0);
  REQUIRE(registry.of_service("app").empty());
}

TEST_CASE("an engine with an invalid entry is unusable until a valid entry arrives",
          "[balancing]") {
  EngineRegistry registry;
  registry.put(run_of("e", 1000));
  registry.put(run_of("other", 1));
  registry.at("e")->in_flight = 2;
  registry.suspend("e");
  REQUIRE_FALSE(registry.at("e")->usable());
  REQUIRE(registry.at("other")->usable());
  registry.put(run_of("e", 1000));
  REQUIRE(registry.at("e")->usable());
  REQUIRE(registry.at("e")->in_flight == 2);
  // An invalid entry in a replaced list suspends the engine without removing it.
  registry.replace({run_of("other", 1)}, EngineRegistry::AbsentPolicy::kRemove, {"e"});
  REQUIRE(registry.at("e") != nullptr);
  REQUIRE_FALSE(registry.at("e")->usable());
}
