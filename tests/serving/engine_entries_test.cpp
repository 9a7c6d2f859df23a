#include "serving/engine_entries.hpp"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "records.hpp"
#include "support/gateway_fixture.hpp"

using namespace sailgate;
using serving::EngineEntries;
using test::GatewayFixture;

namespace {

std::string entry(const std::string& more = "", const std::string& state = "ready") {
  return R"({"service":"app","addr":"127.0.0.1:9","zone":"zone","version":"v1","slots":4,)"
         R"("state":")" +
         state + R"(","cold_left_ms":0,"seq":4)" + more + "}";
}

store::Row row(const std::string& key, const std::string& value) {
  static std::int64_t version = 0;
  store::Row row;
  row.id = {"servers", "", key};
  row.value = value;
  row.version = ++version;
  return row;
}

std::string started(std::int64_t ms) { return R"(,"born":)" + std::to_string(ms); }

struct EntriesFixture : GatewayFixture {
  EntriesFixture() { start(); }

  serving::NodeState& state() { return gateway->state(); }
  bool usable(const std::string& entry_key) {
    const auto engine = state().engines.at(entry_key);
    return engine != nullptr && engine->usable();
  }

  platform::Records records;
};

/// Invalid entries, as processes other than engines may write them.
const std::vector<std::string> kInvalidEntries{
    "",
    "not json",
    "\xff\xfe{",
    "[]",
    "7",
    "null",
    "{}",
    entry("", "asleep"),
    entry("", ""),
    R"({"service":"app","addr":"127.0.0.1:9","zone":"zone","slots":4})",
    R"({"service":7,"addr":"127.0.0.1:9","zone":"zone","slots":4,"state":"ready"})",
    R"({"service":"app","addr":"nowhere","zone":"zone","slots":4,"state":"ready"})",
    R"({"service":"app","addr":["127.0.0.1:9"],"zone":"zone","slots":4,"state":"ready"})",
    R"({"service":"app","addr":"127.0.0.1:9","slots":4,"state":"ready"})",
    R"({"service":"app","addr":"127.0.0.1:9","zone":"zone","slots":"4","state":"ready"})",
    R"({"service":"app","addr":"127.0.0.1:9","zone":"zone","slots":0,"state":"ready"})",
    R"({"service":"app","addr":"127.0.0.1:9","zone":"zone","slots":4,"state":true})",
    entry(R"(,"born":"yesterday")"),
    entry(R"(,"born":1.5)"),
    entry(R"(,"born":null)"),
};

}  // namespace

TEST_CASE_METHOD(EntriesFixture, "an invalid entry suspends only its own engine", "[serving]") {
  EngineEntries entries(state(), records);
  for (const auto& invalid : kInvalidEntries) {
    CAPTURE(invalid);
    const bool snapshot = GENERATE(true, false);
    entries.apply_snapshot({row("a", entry()), row("b", entry())}, false);
    REQUIRE(usable("b"));
    if (snapshot) {
      entries.apply_snapshot({row("a", entry()), row("b", invalid), row("c", invalid)}, false);
    } else {
      entries.apply_change(row("b", invalid), false);
      entries.apply_change(row("c", invalid), false);
    }
    REQUIRE(usable("a"));
    REQUIRE_FALSE(usable("b"));
    REQUIRE_FALSE(usable("c"));
    // The next valid entry makes the engine usable again immediately.
    entries.apply_change(row("b", entry()), false);
    REQUIRE(usable("b"));
  }
}

TEST_CASE_METHOD(EntriesFixture, "arbitrary bytes in an entry do not affect other engines",
                 "[serving]") {
  EngineEntries entries(state(), records);
  REQUIRE(rc::check([&] {
    entries.apply_snapshot({row("a", entry()), row("b", entry(started(1)))}, false);
    const auto bytes = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    auto cut = entry(started(7));
    cut.resize(*rc::gen::inRange<std::size_t>(0, cut.size()));
    entries.apply_change(row("b", *rc::gen::element(bytes, cut)), false);
    RC_ASSERT(usable("a"));
    RC_ASSERT(!usable("b"));
    entries.apply_snapshot({row("b", bytes), row("a", entry()), row("c", cut)}, false);
    RC_ASSERT(usable("a"));
    RC_ASSERT(!usable("b"));
    RC_ASSERT(!usable("c"));
  }));
}

TEST_CASE_METHOD(EntriesFixture,
                 "an entry without a start is invalid if most engines report theirs", "[serving]") {
  EngineEntries entries(state(), records);
  std::vector<store::Row> rows;
  for (int i = 0; i < 8; ++i) rows.push_back(row("e" + std::to_string(i), entry(started(i))));
  rows.push_back(row("odd", entry()));
  entries.apply_snapshot(rows, false);
  REQUIRE(usable("e0"));
  REQUIRE_FALSE(usable("odd"));
  entries.apply_change(row("odd", entry()), false);
  REQUIRE_FALSE(usable("odd"));
  entries.apply_change(row("odd", entry(started(3))), false);
  REQUIRE(usable("odd"));
}

TEST_CASE_METHOD(EntriesFixture, "a single entry with a start does not invalidate those without",
                 "[serving]") {
  EngineEntries entries(state(), records);
  entries.apply_snapshot({row("a", entry()), row("b", entry()), row("c", entry(started(1)))},
                         false);
  REQUIRE(usable("a"));
  REQUIRE(usable("b"));
  REQUIRE(usable("c"));
  entries.apply_change(row("a", entry()), false);
  REQUIRE(usable("a"));
}

// A late write of the run before ended the living run in every node, which then ignored its drain.
TEST_CASE_METHOD(EntriesFixture,
                 "a late entry of the run before does not hide that an engine drains",
                 "[serving]") {
  EngineEntries entries(state(), records);
  entries.apply_snapshot({row("a", entry(started(1000)))}, false);
  auto gone = row("a", "");
  gone.removed = true;
  entries.apply_change(gone, false);
  entries.apply_change(row("a", entry(started(2000))), false);
  const int late_writes = GENERATE(1, 2);
  for (int i = 0; i < late_writes; ++i) entries.apply_change(row("a", entry(started(1000))), false);
  entries.apply_change(row("a", entry(started(2000))), false);
  REQUIRE(usable("a"));
  entries.apply_change(row("a", entry(started(2000), "draining")), false);
  REQUIRE_FALSE(usable("a"));
}

TEST_CASE_METHOD(EntriesFixture,
                 "a restart is detected from the next entry without a removal between",
                 "[serving]") {
  EngineEntries entries(state(), records);
  entries.apply_snapshot({row("a", entry(started(1000)))}, false);
  const auto before = state().engines.at("a");
  const bool removed_meanwhile = GENERATE(true, false);
  if (removed_meanwhile) {
    auto gone = row("a", "");
    gone.removed = true;
    entries.apply_change(gone, true);
    REQUIRE(usable("a"));
  }
  entries.apply_change(row("a", entry(started(2000))), removed_meanwhile);
  REQUIRE(state().engines.at("a") != before);
  REQUIRE(usable("a"));
  REQUIRE_FALSE(before->usable());
  REQUIRE(state().metrics.text().find("sailgate_engine_restarts_total 1") != std::string::npos);
  // Peers' reports about the previous run have a different key.
  REQUIRE(cluster::engine_key(before->record.id) !=
          cluster::engine_key(state().engines.at("a")->record.id));
}
