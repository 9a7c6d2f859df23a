#include "store/unchanging_rows.hpp"

#include <catch2/catch.hpp>

#include "store/row_parts.hpp"
#include "support/memory_table.hpp"
#include "support/run.hpp"

using namespace sailgate;
using store::RowLookup;
using test::MemoryTable;
using test::run;

namespace {

struct Fixture {
  net::asio::io_context context;
  MemoryTable table{context};
  store::LatencyEstimate latency;
  store::ImmutableRows rows{context, table, latency, 1};
  std::vector<std::string> partitions = store::candidate_partitions("key");

  bool put() {
    return run(context, rows.put("t", "key", "v", {}, net::Clock::now() + net::Millis(200)));
  }
  store::RowLookupResult find(store::ImmutableRows& reader) {
    return run(context, reader.find("t", "key", net::Clock::now() + net::Millis(200)));
  }
};

}  // namespace

TEST_CASE("the candidate partitions of a row are distinct", "[store]") {
  const auto partitions = store::candidate_partitions("key");
  REQUIRE(partitions.size() > 1);
  REQUIRE(std::set<std::string>(partitions.begin(), partitions.end()).size() == partitions.size());
  REQUIRE(partitions.front() == store::partition_of("key"));
}

TEST_CASE_METHOD(Fixture, "a row is written once, to its first partition", "[store]") {
  REQUIRE(put());
  REQUIRE(table.writes() == 1);
  REQUIRE(find(rows).value == "v");
  REQUIRE(table.reads() == 1);
}

TEST_CASE_METHOD(Fixture, "a row can be written while one of its partitions is unavailable",
                 "[store]") {
  table.put_out_of_service({partitions[0]});
  REQUIRE(put());
  store::ImmutableRows other(context, table, latency, 2);
  REQUIRE(find(other).lookup == RowLookup::kFound);
  table.put_out_of_service({});
  REQUIRE(find(other).lookup == RowLookup::kFound);
}

TEST_CASE_METHOD(Fixture, "a row is not reported absent while a candidate partition is unavailable",
                 "[store]") {
  table.put_out_of_service({partitions[0]});
  REQUIRE(put());
  table.put_out_of_service({partitions[1]});
  REQUIRE(find(rows).lookup == RowLookup::kUnavailable);
  table.put_out_of_service({});
  REQUIRE(find(rows).lookup == RowLookup::kFound);
}

TEST_CASE_METHOD(Fixture, "a row is reported absent after all candidate partitions were read",
                 "[store]") {
  REQUIRE(find(rows).lookup == RowLookup::kAbsent);
  REQUIRE(table.reads() == static_cast<int>(partitions.size()));
}

TEST_CASE_METHOD(Fixture, "a partition that failed recently is tried last", "[store]") {
  table.put_out_of_service({partitions[0]});
  REQUIRE(put());
  const int writes = table.writes();
  REQUIRE(put());
  REQUIRE(table.writes() == writes + 1);
}

TEST_CASE_METHOD(Fixture, "a write is not confirmed while the store is unavailable", "[store]") {
  table.set_mode(MemoryTable::Mode::kRefuses);
  REQUIRE_FALSE(put());
  REQUIRE(find(rows).lookup == RowLookup::kUnavailable);
}
