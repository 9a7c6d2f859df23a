#include "balancing/engine_loss.hpp"

#include <catch2/catch.hpp>

using namespace sailgate;
using balancing::EngineFate;
using balancing::EngineLoss;
using balancing::EngineRecord;
using balancing::EngineRegistry;

namespace {

EngineRecord record(std::int64_t start) {
  EngineRecord made;
  made.name = "e";
  made.id = balancing::run_id("e", start);
  made.started_ms = start;
  made.service = "app";
  return made;
}

struct Fixture {
  EngineRegistry engines;
  EngineLoss loss;

  Fixture() {
    engines.put(record(1));
    loss.engine = record(1).id;
    loss.ended = net::Clock::now();
  }

  bool counts(EngineFate fate) {
    loss.fate = fate;
    return balancing::may_have_ended(loss, engines);
  }
};

}  // namespace

TEST_CASE_METHOD(Fixture, "an engine counts as ended unless it was found alive", "[balancing]") {
  REQUIRE(counts(EngineFate::kEnded));
  REQUIRE(counts(EngineFate::kUnknown));
  REQUIRE_FALSE(counts(EngineFate::kAlive));
}

TEST_CASE_METHOD(Fixture, "an engine that is heard again has not ended", "[balancing]") {
  engines.find(loss.engine)->heard_at = loss.ended + net::Millis(500);
  REQUIRE_FALSE(counts(EngineFate::kUnknown));
  REQUIRE(counts(EngineFate::kEnded));
}

TEST_CASE_METHOD(Fixture, "an engine that accepts connections since it started again has ended",
                 "[balancing]") {
  engines.put(record(2));
  REQUIRE(counts(EngineFate::kAlive));
}

TEST_CASE_METHOD(Fixture, "a restart long after the loss is not the request's doing",
                 "[balancing]") {
  loss.ended -= std::chrono::minutes(1);
  engines.put(record(2));
  REQUIRE_FALSE(counts(EngineFate::kAlive));
}
