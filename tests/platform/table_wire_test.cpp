#include "table_wire.hpp"

#include <catch2/catch.hpp>

using namespace sailgate;

namespace {

std::string query_of(const net::TextRequest& request) {
  const std::string target(request.target().data(), request.target().size());
  return target.substr(target.find('?') + 1);
}

}  // namespace

TEST_CASE("a transaction round-trips", "[platform]") {
  store::Transaction transaction;
  transaction.conditions.push_back({{"t", "p", "k"}, 7});
  store::Row row;
  row.id = {"t", "p", "k"};
  row.value = std::string("\0\xff bytes", 8);
  transaction.puts.push_back(row);
  transaction.removals.push_back({"t", "p", "gone"});
  const auto read = platform::decode_transaction(platform::encode_transaction(transaction).body());
  REQUIRE(read.conditions.front().version == 7);
  REQUIRE(read.puts.front().value == row.value);
  REQUIRE(read.removals.front().key == "gone");
}

TEST_CASE("range reads and feed requests round-trip with special characters in names",
          "[platform]") {
  store::RangeRead range;
  range.table = "a table";
  range.part = "1&2=3";
  range.from_key = std::string("key\0", 4);
  range.to_key = "k%z";
  range.limit = 3;
  const auto read = platform::decode_read(query_of(platform::encode_read(range)));
  REQUIRE(read.table == range.table);
  REQUIRE(read.part == range.part);
  REQUIRE(read.from_key == range.from_key);
  REQUIRE(read.to_key == range.to_key);
  REQUIRE(read.limit == 3);
  platform::FollowCall call;
  call.table = "t";
  call.after = 41;
  call.wait = net::Millis(900);
  const auto follow = platform::decode_follow(query_of(platform::encode_follow(call)));
  REQUIRE(follow.after == 41);
  REQUIRE(follow.wait == call.wait);
}

TEST_CASE("a malformed row does not affect the other rows", "[platform]") {
  const auto result = platform::decode_result(
      200,
      R"({"rows":[{"key":"a","value":"YQ=="},{"key":"b","value":"!!"},7,{"key":"c","value":4},)"
      R"({"key":"d","value":"ZA==","ver":"x"}],"ver":3})");
  REQUIRE(result.status == store::StoreStatus::kDone);
  REQUIRE(result.rows.size() == 4);
  REQUIRE(result.rows.at(0).value == "a");
  REQUIRE(result.rows.at(1).value.empty());
  REQUIRE(result.rows.at(2).value.empty());
  REQUIRE(result.rows.at(3).value == "d");
}

TEST_CASE("results round-trip", "[platform]") {
  store::StoreResult result;
  result.status = store::StoreStatus::kConflict;
  result.version = 12;
  result.more = true;
  store::Row row;
  row.id = {"t", "", "k"};
  row.value = "v";
  row.version = 9;
  store::Row removed_row = row;
  removed_row.removed = true;
  result.rows = {row, removed_row};
  const auto read =
      platform::decode_result(platform::status_of(result.status), platform::encode_result(result));
  REQUIRE(read.status == result.status);
  REQUIRE(read.version == 12);
  REQUIRE(read.more);
  REQUIRE(read.rows.front().value == "v");
  REQUIRE(read.rows.back().removed);
}

TEST_CASE("malformed requests throw, malformed responses have an unknown outcome", "[platform]") {
  REQUIRE_THROWS(platform::decode_transaction("{"));
  REQUIRE_THROWS(platform::decode_follow("after=x&wait_ms=1"));
  REQUIRE(platform::decode_result(200, "{").status == store::StoreStatus::kUnknown);
}

TEST_CASE("a full store and throttling have distinct statuses", "[platform]") {
  REQUIRE(platform::decode_result(507, "{}").status == store::StoreStatus::kFull);
  REQUIRE(platform::decode_result(429, "{}").status == store::StoreStatus::kThrottled);
  REQUIRE(platform::decode_result(503, "{}").status == store::StoreStatus::kRefused);
  for (const auto status : {store::StoreStatus::kFull, store::StoreStatus::kThrottled}) {
    REQUIRE(platform::decode_result(platform::status_of(status), "{}").status == status);
  }
}
