#include "store/optimistic_update.hpp"

#include <catch2/catch.hpp>

#include "simulation/in_memory_rows.hpp"

using namespace sailgate;
using Kind = store::OptimisticUpdate::Step::Kind;

namespace {

constexpr base::Millis kDeadline = 1000;
const store::UpdateRules kRules;

/// Increments a number stored in a row.
class Counter : public store::UpdateSubject {
 public:
  void load(std::vector<store::Row> rows) override {
    version_ = rows.empty() ? 0 : rows.front().version;
    value = rows.empty() ? 0 : std::stoi(rows.front().value);
  }
  std::optional<store::Transaction> evaluate() override {
    if (reads_only) return std::nullopt;
    store::Transaction transaction;
    const store::RowId id{"t", "", "counter"};
    transaction.conditions.push_back({id, version_});
    store::Row row;
    row.id = id;
    row.value = std::to_string(value + 1);
    transaction.puts.push_back(row);
    return transaction;
  }
  void written(std::int64_t version) override {
    version_ = version;
    ++value;
  }

  int value = 0;
  bool reads_only = false;

 private:
  std::int64_t version_ = 0;
};

struct Fixture {
  simulation::InMemoryRows table;
  Counter counter;

  static store::RangeRead range() {
    store::RangeRead range;
    range.table = "t";
    return range;
  }
  store::OptimisticUpdate update(bool cached) {
    return {kRules, counter, range(), cached, kDeadline};
  }
  store::OptimisticUpdate::Step execute(store::OptimisticUpdate& update,
                                        const store::OptimisticUpdate::Step& step) {
    if (step.kind == Kind::kRead) return update.on_read(table.read(step.read), 0);
    return update.on_write(table.transact(step.write), 0);
  }
  bool finish(store::OptimisticUpdate& update, store::OptimisticUpdate::Step step) {
    while (step.kind != Kind::kDone) step = execute(update, step);
    return step.decided;
  }
  int stored() { return std::stoi(table.read(range()).rows.front().value); }
};

}  // namespace

TEST_CASE_METHOD(Fixture, "a cached row is written without being read", "[store]") {
  auto first = update(false);
  REQUIRE(finish(first, first.start()));
  auto second = update(true);
  REQUIRE(second.start().kind == Kind::kWrite);
}

TEST_CASE_METHOD(Fixture, "a concurrent write is not overwritten", "[store]") {
  auto first = update(false);
  REQUIRE(finish(first, first.start()));
  Counter other;
  store::OptimisticUpdate concurrent(kRules, other, range(), false, kDeadline);
  REQUIRE(finish(concurrent, concurrent.start()));
  auto second = update(true);
  REQUIRE(finish(second, second.start()));
  REQUIRE(stored() == 3);
}

TEST_CASE_METHOD(Fixture, "a decision without a write requires a fresh read", "[store]") {
  auto first = update(false);
  REQUIRE(finish(first, first.start()));
  counter.reads_only = true;
  auto read_only = update(true);
  const auto step = read_only.start();
  REQUIRE(step.kind == Kind::kRead);
  REQUIRE(finish(read_only, step));
}

TEST_CASE_METHOD(Fixture, "a write without a response is repeated with the same condition",
                 "[store]") {
  auto lost = update(false);
  auto step = execute(lost, lost.start());
  table.transact(step.write);
  step = lost.on_write({}, 0);
  REQUIRE(step.kind == Kind::kWrite);
  REQUIRE(step.wait > 0);
  REQUIRE(table.transact(step.write).status == store::StoreStatus::kConflict);
  REQUIRE(stored() == 1);
}

TEST_CASE_METHOD(Fixture, "an update ends undecided at its deadline", "[store]") {
  auto silent = update(false);
  silent.start();
  const auto step = silent.on_read({}, kDeadline);
  REQUIRE(step.kind == Kind::kDone);
  REQUIRE_FALSE(step.decided);
}

TEST_CASE_METHOD(Fixture, "a long range is read in pages", "[store]") {
  for (int i = 0; i < 3; ++i) {
    store::Transaction transaction;
    store::Row row;
    row.id = {"t", "", "counter" + std::to_string(i)};
    row.value = "5";
    transaction.puts.push_back(row);
    table.transact(transaction);
  }
  counter.reads_only = true;
  auto small_pages = range();
  small_pages.limit = 1;
  store::OptimisticUpdate read_only(kRules, counter, small_pages, false, kDeadline);
  auto step = read_only.start();
  int reads = 0;
  while (step.kind == Kind::kRead) {
    ++reads;
    step = execute(read_only, step);
  }
  REQUIRE(reads == 3);
  REQUIRE(counter.value == 5);
}
