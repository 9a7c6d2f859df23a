#include "balancing/engines_in_use.hpp"

#include <catch2/catch.hpp>

using namespace sailgate;
using balancing::EngineRecord;
using balancing::EngineRegistry;
using balancing::EnginesInUse;
using net::Millis;

namespace {

const net::TimePoint kStart{std::chrono::hours(1)};

EngineRecord record_of(const std::string& id, const std::string& zone) {
  EngineRecord record;
  record.id = id;
  record.service = "app";
  record.zone = zone;
  return record;
}

}  // namespace

TEST_CASE("periodic work visits the engines in use and not the whole registry", "[balancing]") {
  constexpr int kEngines = 10'000;
  EngineRegistry registry;
  for (int i = 0; i < kEngines; ++i) registry.put(record_of("e" + std::to_string(i), "a"));
  EnginesInUse in_use;
  in_use.add(registry.find("e7"), kStart);
  REQUIRE(in_use.all().size() == 1);
  in_use.evict_idle(kStart + Millis(999));
  REQUIRE(in_use.all().size() == 1);
  in_use.evict_idle(kStart + Millis(1000));
  REQUIRE(in_use.all().empty());
}

TEST_CASE("an engine stays in use while it has requests, failures or speed samples to report",
          "[balancing]") {
  EngineRegistry registry;
  registry.put(record_of("e", "a"));
  const auto engine = registry.find("e");
  EnginesInUse in_use;
  in_use.add(engine, kStart);
  const auto last = kStart + Millis(2900);
  SECTION("requests in flight") { engine->in_flight = 1; }
  SECTION("a recent failure") {
    engine->consecutive_failures = 1;
    engine->failed_at = kStart + Millis(1000);
  }
  SECTION("recent speed samples") {
    for (int i = 0; i < 100; ++i) engine->own_speed.add(0, kStart + Millis(1000));
  }
  in_use.evict_idle(last);
  REQUIRE(in_use.all().count(engine) == 1);
  engine->in_flight = 0;
  in_use.evict_idle(last + Millis(5000));
  REQUIRE(in_use.all().empty());
}

TEST_CASE("the registry finds engines by key and by zone, also after they move or leave",
          "[balancing]") {
  EngineRegistry registry;
  registry.put(record_of("e1", "a"));
  registry.put(record_of("e2", "a"));
  const auto engine = registry.find("e1");
  REQUIRE(registry.with_key(balancing::engine_key("e1")) ==
          std::vector<balancing::EnginePointer>{engine});
  const auto version = registry.membership_version();
  registry.put(record_of("e1", "b"));
  REQUIRE(registry.membership_version() > version);
  REQUIRE(registry.by_zone().at("a").size() == 1);
  REQUIRE(registry.by_zone().at("b") == std::vector<balancing::EnginePointer>{engine});
  registry.remove("e1");
  REQUIRE(registry.with_key(balancing::engine_key("e1")).empty());
  REQUIRE(registry.by_zone().at("b").empty());
  REQUIRE_FALSE(registry.lists(*engine));
  REQUIRE(registry.lists(*registry.find("e2")));
}
