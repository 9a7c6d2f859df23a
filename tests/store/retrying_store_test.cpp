#include "store/retrying_store.hpp"

#include <catch2/catch.hpp>

#include "support/memory_table.hpp"
#include "support/run.hpp"

using namespace sailgate;
using store::StoreStatus;
using test::MemoryTable;
using test::run;

namespace {

struct Fixture {
  net::asio::io_context context;
  MemoryTable table{context};
  store::RetryingStore retrying{context, table, 1};

  StoreStatus write(net::Millis time) {
    store::Transaction transaction;
    store::Row row;
    row.id = {"t", "", "key"};
    row.value = "value";
    transaction.conditions.push_back({row.id, 0});
    transaction.puts.push_back(row);
    return run(context, retrying.transact(std::move(transaction), net::Clock::now() + time)).status;
  }
};

}  // namespace

TEST_CASE_METHOD(Fixture, "a silent store is not waited for beyond the deadline", "[store]") {
  table.set_mode(MemoryTable::Mode::kSilent);
  REQUIRE(write(net::Millis(30)) == StoreStatus::kUnknown);
  REQUIRE(table.longest_timeout() <= net::Millis(30));
}

TEST_CASE_METHOD(Fixture, "a refused call is retried until it is accepted", "[store]") {
  table.set_mode(MemoryTable::Mode::kRefuses);
  net::asio::steady_timer recovery(context, net::Millis(60));
  recovery.async_wait([this](const net::Error&) { table.set_mode(MemoryTable::Mode::kUp); });
  REQUIRE(write(net::Millis(5000)) == StoreStatus::kDone);
  REQUIRE(table.writes() > 1);
}

TEST_CASE_METHOD(Fixture, "repeating a committed write results in a conflict", "[store]") {
  table.set_mode(MemoryTable::Mode::kLosesAnswers);
  REQUIRE(write(net::Millis(0)) == StoreStatus::kUnknown);
  table.set_mode(MemoryTable::Mode::kUp);
  REQUIRE(write(net::Millis(200)) == StoreStatus::kConflict);
  REQUIRE(table.has("t", "key"));
}

TEST_CASE_METHOD(Fixture, "one attempt is made even after the deadline", "[store]") {
  REQUIRE(write(net::Millis(-5)) == StoreStatus::kDone);
}
