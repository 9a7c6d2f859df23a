#include "store/metered_store.hpp"

#include <catch2/catch.hpp>
#include <map>

#include "support/memory_table.hpp"
#include "support/run.hpp"

using namespace sailgate;

namespace {

store::Transaction put(const std::string& table, const std::string& key, const std::string& value) {
  store::Transaction transaction;
  transaction.puts.push_back({{table, "0", key}, value, 0, false});
  return transaction;
}

}  // namespace

TEST_CASE("calls are counted by status, and changes only when committed", "[store]") {
  net::asio::io_context context;
  test::MemoryTable table(context);
  observe::StructuredLog log(-1);
  store::MeteredStore metered(table, log);
  std::map<std::string, int> ends;
  std::int64_t bytes = 0;
  metered.set_meter({[&](store::StoreCall call, store::StoreStatus status) {
                       ++ends[std::string(store::name_of(call)) + " " + store::name_of(status)];
                     },
                     [&](const store::RowsChanged& changed) { bytes += changed.bytes_written; }});
  test::run(context, metered.transact(put("turns", "key", "value"), net::Millis(100)));
  table.set_mode(test::MemoryTable::Mode::kFull);
  test::run(context, metered.transact(put("turns", "other", "value"), net::Millis(100)));
  test::run(context, metered.read({"turns", "0", "", "", 1}, net::Millis(100)));
  REQUIRE(ends ==
          std::map<std::string, int>{{"write done", 1}, {"write full", 1}, {"read done", 1}});
  REQUIRE(bytes == 8);
}
