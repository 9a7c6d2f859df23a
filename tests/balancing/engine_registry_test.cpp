#include "balancing/engine_registry.hpp"

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
  // An earlier start time also denotes a new run, since clocks can be set back.
  const auto start = GENERATE(2000, 500);
  registry.put(run_of("e", start));
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
