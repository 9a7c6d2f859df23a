/// @file A table store that answers late or loses answers, as callers with time limits see it.
#pragma once

#include <algorithm>
#include <string>
#include <utility>

#include "base/random.hpp"
#include "simulation/in_memory_rows.hpp"
#include "store/table_store.hpp"

namespace sailgate::test {

/// Calls take effect when they are made. An answer later than the caller's time limit, or a lost
/// one, is no answer.
class SlowTable : public store::TableStore {
 public:
  SlowTable(net::asio::io_context& context, std::uint64_t seed)
      : context_(context), random_(seed) {}

  net::asio::awaitable<store::StoreResult> transact(store::Transaction transaction,
                                                    net::Millis timeout) override {
    ++calls_;
    co_return co_await answer(rows_.transact(transaction), timeout);
  }
  net::asio::awaitable<store::StoreResult> read(store::RangeRead range,
                                                net::Millis timeout) override {
    ++calls_;
    co_return co_await answer(rows_.read(range), timeout);
  }
  net::asio::awaitable<store::StoreResult> follow(std::string, std::int64_t, net::Millis,
                                                  net::Millis) override {
    co_return store::StoreResult{};
  }

  void set_answer_time(net::Millis time) { answer_time_ = time; }
  void set_lost_percent(std::uint64_t percent) { lost_percent_ = percent; }
  int calls() const { return calls_; }
  /// Calls that the caller gave up although their answer would have come.
  int given_up() const { return given_up_; }
  int most_at_once() const { return most_at_once_; }
  bool has(const std::string& table, const std::string& key) const { return rows_.has(table, key); }

 private:
  net::asio::awaitable<store::StoreResult> answer(store::StoreResult result, net::Millis timeout) {
    const bool late = answer_time_ >= timeout;
    const bool lost = random_.chance(lost_percent_) || late;
    if (late) ++given_up_;
    most_at_once_ = std::max(most_at_once_, ++under_way_);
    co_await net::sleep_for(context_, lost ? timeout : answer_time_);
    --under_way_;
    co_return lost ? store::StoreResult{} : std::move(result);
  }

  net::asio::io_context& context_;
  base::Random random_;
  simulation::InMemoryRows rows_;
  net::Millis answer_time_{4};
  std::uint64_t lost_percent_ = 0;
  int calls_ = 0;
  int given_up_ = 0;
  int under_way_ = 0;
  int most_at_once_ = 0;
};

}  // namespace sailgate::test
